; The site settings that the example instance and nodes share; their files include them.
(site
  (zones hall-a hall-b)
  (class read  (aim 400ms) (deadline 2s) (repeat safe) (late 0.15))
  (class write (aim 500ms) (deadline 2s) (repeat keyed) (group cell) (window 5s) (in-order) (writes))
  (plan standard (rate 50) (reserve 20) (limit 400) (burst 400) (slack 20))
  (rules (cold-share 0.25) (cold-units 150) (ramp 6s) (fall-window 1s) (fall-multiple 2.5)
         (order-pause 100ms)))
