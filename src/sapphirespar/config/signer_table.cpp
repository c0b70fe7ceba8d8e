// Implements reading of signer tables.
#include "signer_table.hpp"

#include "sapphirespar/config/signing.hpp"

#include <algorithm>

namespace sapphirespar {

std::vector<signer>
ReadSigners(toml_table& aTable, std::string_view aKey)
{
  std::vector<signer> signers;
  aTable.EachTable(aKey, [&](toml_table& aItem) {
    signer item{ aItem.Text("name"), aItem.Text("public_key") };
    if (!IsPublicKey(item.mPublicKey)) {
      aItem.Fail("public_key", "expected 64 lower-case hexadecimal digits");
    }
    if (std::ranges::count(signers, item.mName, &signer::mName) > 0) {
      aItem.Fail("name", "\"" + item.mName + "\" is named twice");
    }
    signers.push_back(std::move(item));
  });
  return signers;
}

} // namespace sapphirespar
