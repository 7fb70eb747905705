; One instance of the scheduler: landingpaddle serve examples/instance.lisp
(instance
  (number 0) (of 1) (zone hall-a) (listen 127.0.0.1:7120) (list 127.0.0.1:7100)
  (kept-list /tmp/landingpaddle-list-0) (stop-within 10s) (log-level info)
  (site
    (zones hall-a hall-b)
    (class read  (aim 400ms) (deadline 2s) (repeat safe) (late 0.15))
    (class write (aim 500ms) (deadline 2s) (repeat keyed) (group cell) (window 5s) (in-order) (writes))
    (plan standard (rate 50) (reserve 20) (limit 400) (burst 400) (slack 20))
    (rules (cold-share 0.25) (cold-units 150) (ramp 6s) (fall-window 1s) (fall-multiple 2.5)
           (order-pause 100ms))))
