; Settings that apply where none are given: three placers on loopback, two kinds of host,
; three classes. docs/ops/placer.md describes each setting.
(forkhead
  (placer (zone north) (http "127.0.0.1:7070") (tell "127.0.0.1:7170"))
  (placer (zone north) (http "127.0.0.1:7071") (tell "127.0.0.1:7171"))
  (placer (zone south) (http "127.0.0.1:7072") (tell "127.0.0.1:7172"))

  (kind std-28 (cores 28) (memory 64GiB))
  (kind large-56 (cores 56) (memory 128GiB))

  (class web (effect safe) (aim 800ms) (wait 4s) (patience 8s))
  (class listing-svc
    (effect keyed) (group anywhere) (window 8s)
    (aim 800ms) (wait 4s) (patience 8s) (worth 2) (spread rack 2))
  (class calendar-batch
    (effect safe) (kind large-56) (priority 1)
    (aim 4s) (wait 4s) (patience 6s) (worth 6) (spread rack 2))
  (class ledger-batch
    (effect unsafe) (aim 5s) (wait 5s) (patience 12s) (worth 4))
  (default-class web)

  (mean-cores 1) (mean-memory 2GiB)
  (bound running)
  (push-out yes)
  (cold (for 6s) (window 1s) (offers 24) (from 0.25) (multiple 4)))
