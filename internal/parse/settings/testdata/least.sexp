(forkhead (kind k (cores 1) (memory 512MiB)) (class c))
