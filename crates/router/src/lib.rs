//! KV block keys, prompt index, pricing and selection of backend servers.
