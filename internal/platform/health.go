package platform

import "net/http"

// serveHealth answers the platform's question whether this scheduler can serve, and reports whether the
// connection goes on.
func (f *frontend) serveHealth(client *clientConn, closeWanted bool) bool {
	f.beginProcessing(client)
	goesOn := f.answerHealth(client, closeWanted)
	f.endProcessing(client, !goesOn)
	if !goesOn {
		f.linger(client)
	}
	return goesOn
}

func (f *frontend) answerHealth(client *clientConn, closeWanted bool) bool {
	isLast := f.isLastAnswer(client, closeWanted)
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
