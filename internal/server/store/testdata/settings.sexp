(forkhead
  (placer (zone north) (http "127.0.0.1:27070") (tell "127.0.0.1:27170"))
  (catalogue (address "127.0.0.1:28500"))
  (kind std-28 (cores 28) (memory 64GiB))
  (class web (effect safe) (aim 800ms) (wait 4s) (patience 8s))
  (class ledger (effect unsafe) (aim 5s) (wait 5s) (patience 12s) (worth 4))
  (default-class web)
  (bound running))
