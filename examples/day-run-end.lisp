; The end of a model run: every two seconds all product jobs read the slices of all fields at once, while
; charts read at random places. Each operation has a fixed cost at a node, whatever its size. (alone) in
; (extents …) turns merging off.
(day
  (name "run end")
  (length 8s)
  (instances 2)
  (nodes 4 (kind (cores 2) (queue 64) (per-operation 4ms) (per-unit 500us) (jitter 0.2) (cancel-drops) (drain-notices)))
  (list (delay 200ms) (workers 2) (call-time 1ms) (max-wait 300ms))
  (clients 16 (retries 1) (wait 100ms) (heed))
  (site
    (zones hall-a hall-b) (mean-units 2) (most-units 64)
    (extents (size 1MiB) (members 32) (cells 4))
    (class product (aim 400ms) (deadline 1500ms) (repeat safe) (worth 2) (late 0.1))
    (class chart   (aim 300ms) (deadline 1500ms) (repeat safe) (worth 2) (late 0.1))
    (plan standard    (rate 400) (weight 1))
    (plan operational (rate 200) (weight 2) (reserve 40))
    (rules (answer-slack 50ms) (drain-grace 1s))
    (limits (attempts 3) (retry-after)))
  (traffic (class product) (plan standard) (rate 1) (volumes 16) (units 1 3)
           (fields (size 2MiB) (slice 32KiB) (run 2s) (spread 50ms)))
  (traffic (class chart) (plan operational) (rate 100) (volumes 8) (units 1 3)
           (fields (size 64MiB) (slice 16KiB))))
