; Site settings of a newer build, to which the fleet of fleet-site.lisp moves: instances send no messages to
; one another, rejections have no Retry-After, a write is never executed twice, a budget limits retries,
; classes and plans have different priority weights, nodes report their load.
(site
  (zones hall-a hall-b) (ask) (meter 1s) (elsewhere) (load q busy) (share-worth 0.35) (spare-worth 0.08) (retries-known)
  (class read  (aim 300ms) (deadline 1500ms) (repeat safe) (worth 3) (late 0.1))
  (class write (aim 500ms) (deadline 3s) (repeat unsafe) (writes) (worth 2) (late 0.15))
  (plan standard (rate 50) (reserve 25) (weight 1) (limit 400) (burst 400) (slack 40) (worth 0.96))
  (plan upper    (rate 120) (reserve 120) (weight 3) (worth 1.5))
  (rules (drain-grace 250ms) (cold-share 0.24) (cold-units 150) (ramp 18s) (fall-window 1500ms) (fall-multiple 4)
         (ask-within 10s) (budget (floor 3) (ratio 0.15) (window 5s)))
  (limits (attempts 3) (second-copies) (probes) (retry-after no) (peers no)))
