; A scenario without adjacent requests: small reads at random places of large fields. There is nothing to
; merge, and merging must add no cost.
(day
  (name "scattered reads")
  (length 6s)
  (instances 2)
  (nodes 4 (kind (cores 2) (queue 64) (per-operation 2ms) (per-unit 500us) (jitter 0.2) (cancel-drops) (drain-notices)))
  (list (delay 200ms) (workers 2) (call-time 1ms) (max-wait 300ms))
  (clients 16 (retries 1) (wait 100ms) (heed))
  (site
    (zones hall-a hall-b) (mean-units 2) (most-units 64)
    (extents (size 1MiB) (members 32) (cells 4))
    (class chart (aim 300ms) (deadline 1500ms) (repeat safe) (worth 2) (late 0.1))
    (plan operational (rate 400) (weight 2) (reserve 40))
    (rules (answer-slack 50ms) (drain-grace 1s))
    (limits (attempts 3) (retry-after)))
  (traffic (class chart) (plan operational) (rate 1500) (volumes 16) (units 1 3)
           (fields (size 64MiB) (slice 4KiB))))
