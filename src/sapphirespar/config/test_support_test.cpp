// Implements the helpers shared by the tests of this module.
#include "test_support.hpp"

#include "sapphirespar/config/bundle_file.hpp"

namespace sapphirespar {

std::string
GoodBundleText()
{
  return R"([[signers]]
name = "anna"
public_key = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

[[classes]]
id = "confirmation"
tier = 1
kind = "service"
idempotent = false
once = "token"

[[classes]]
id = "price"
tier = 2
idempotent = true
first_token_ms = 320
minimum_share_percent = 10

[[models]]
id = "m-small"

[[upstreams]]
id = "engine-1"
data_centre = "valmiera"
address = "10.0.0.1"
port = 8000
models = ["m-small"]

[[upstreams]]
id = "ledger-1"
kind = "service"
service = "ledger"
data_centre = "valmiera"
address = "10.0.0.2"
port = 8000

[[accounts]]
id = "coop"
key_hash = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
classes = ["price"]
)";
}

bundle
GoodBundle(std::uint64_t aNumber, const std::string& aPublicKey)
{
  auto good = ParseBundle(GoodBundleText(), "good.toml").value();
  good.mVersion.mNumber = aNumber;
  good.mSigners = { { "anna", aPublicKey } };
  return good;
}

} // namespace sapphirespar
