; A short day whose placer is built to tell an outcome twice.
(badday
  (settings
    (forkhead
      (placer (zone north) (http "127.0.0.1:0") (tell "127.0.0.1:0"))
      (placer (zone south) (http "127.0.0.1:0") (tell "127.0.0.1:0"))
      (kind std-16 (cores 16) (memory 32GiB))
      (class web (effect safe) (aim 500ms) (wait 3s) (patience 12s))
      (class ledger (effect unsafe) (aim 3s) (wait 3s) (patience 14s) (spread zone 8))
      (default-class web)
      (bound running)
      (owner (first 300ms) (most 2s) (wait 1500ms))
      (saved-list (fresh 1s) (old 1h))
      (links (lost-after 2s) (first 50ms) (most 1s))))
  (seed 3) (durable yes)
  (length 900ms) (settle 1s)
  (hosts 2 (kind std-16) (zone north) (racks 2) (prefix n-))
  (hosts 1 (kind std-16) (zone south) (racks 1) (prefix s-))
  (catalogue (lag 50ms) (critical 1500ms) (deregister 4s))
  (load web (class web) (rate 3) (replicas 1 2) (cores 0.25 0.5) (memory 0.5 1) (life 200ms 500ms))
  (load ledger (class ledger) (rate 3) (replicas 1 2) (cores 0.25 0.5) (memory 0.5 1) (life 200ms 500ms))
  (troubles
    (cut (at 250ms) (for 200ms) (hosts 0.5) (every 100ms))
    (placer-kill (at 500ms) (for 50ms) (placer 0)))
  (plant one-answer))
