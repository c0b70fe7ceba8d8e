// Fuzz target of the decoder of requests, see docs/FUZZING.md.
#include "../src/sapphirespar/wire/http_decoding_test.hpp"

#include <cstddef>
#include <cstdint>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  // The bytes are text to the decoder.
  const auto* bytes = reinterpret_cast<const char*>(aData);
  sapphirespar::wire::CheckRequests({ bytes, aSize });
  return 0;
}
