package platform

import "net/http"

// serveHealth answers a health check of the platform, and reports whether the connection stays open.
func (f *frontend) serveHealth(client *clientConn, closeAfterAnswer bool) bool {
	f.beginProcessing(client)
	client.finishHandling() // before the answer, as the client may not read it
	staysOpen := f.answerHealth(client, closeAfterAnswer)
	f.endProcessing(client, !staysOpen)
	if !staysOpen {
		f.linger(client)
	}
	return staysOpen
}

func (f *frontend) answerHealth(client *clientConn, closeAfterAnswer bool) bool {
	isLast := f.isLastAnswer(client, closeAfterAnswer)
	status, text := http.StatusOK, "ok\n"
	switch {
	case f.loop.Stopping():
		status, text = http.StatusServiceUnavailable, "stopping\n"
	case !f.loop.IsReady():
		status, text = http.StatusServiceUnavailable, "starting\n"
	}
	err := client.writeResponse(status, withConnectionClose(nil, isLast), []byte(text))
	return err == nil && !isLast
}
