; The instance of instance.lisp with the newer site: storage-gateway serve examples/move-instance.lisp
(instance
  (number 0) (of 1) (zone hall-a) (listen 127.0.0.1:7120) (list 127.0.0.1:7100)
  (kept-list /tmp/landingpaddle-list-0) (learnt /tmp/landingpaddle-learnt-0) (stop-within 10s) (log-level info)
  (include "move-site.lisp"))
