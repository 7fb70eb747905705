; A stand-in node that holds cell 1: storage-gateway node examples/node-1.lisp
(node
  (number 1) (cell 1) (zone hall-b) (listen 127.0.0.1:7111) (list 127.0.0.1:7100)
  (kind (cores 2) (queue 64) (per-unit 5ms) (write-times 1.5) (cancel-drops) (cancel-stops) (drain-notices))
  (include "fleet-site.lisp"))
