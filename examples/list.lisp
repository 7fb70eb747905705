; A stand-in for the registry, which serves the endpoint list: storage-gateway list examples/list.lisp
(list (listen 127.0.0.1:7100) (delay 500ms) (workers 2) (call-time 2ms) (max-wait 500ms))
