; A stand-in node that holds cell 0: storage-gateway node examples/node-0.lisp
(node
  (number 0) (cell 0) (zone hall-a) (listen 127.0.0.1:7110) (list 127.0.0.1:7100)
  (kind (cores 2) (queue 64) (per-unit 5ms) (write-times 1.5) (cancel-drops) (cancel-stops) (drain-notices))
  (include "fleet-site.lisp"))
