; The hosts that `forkhead try` places tasks on: two zones, three racks, two machine types.
(badday
  (hosts 4 (kind std-28) (zone north) (racks 2) (prefix north-std-) (label disk ssd))
  (hosts 2 (kind large-56) (zone north) (racks 2) (prefix north-large-) (label disk ssd))
  (hosts 3 (kind std-28) (zone south) (racks 1) (prefix south-std-) (label disk hdd))
  (hosts 1 (kind large-56) (zone south) (racks 1) (prefix south-large-) (label disk hdd))
  (catalogue (lag 100ms))
  (host (refresh 250ms)))
