// Packs with zlib and OpenSSL's base64. The packed text is the size of the
// unpacked bytes in decimal, a colon, and the base64 of the compressed bytes.
#include "sapphirespar/config/packing.hpp"

#include <openssl/evp.h>
#include <zlib.h>

#include <charconv>
#include <vector>

namespace sapphirespar {
namespace {

// Far above the size of any bundle. Prevents a malicious text from exhausting
// the memory.
constexpr std::size_t kUnpackedLimitBytes = 64 * 1024 * 1024;
// Base64 encodes three bytes as four digits.
constexpr std::size_t kDigits = 4;
constexpr std::size_t kBytes = 3;

const unsigned char*
Data(std::string_view aText)
{
  return reinterpret_cast<const unsigned char*>(aText.data());
}

std::vector<unsigned char>
Compress(std::string_view aBytes)
{
  auto size = compressBound(aBytes.size());
  std::vector<unsigned char> packed(size);
  compress2(packed.data(), &size, Data(aBytes), aBytes.size(), Z_BEST_SPEED);
  packed.resize(size);
  return packed;
}

} // namespace

std::string
Pack(std::string_view aBytes)
{
  const auto packed = Compress(aBytes);
  // One more for the zero byte that OpenSSL appends.
  std::vector<unsigned char> text(
    (packed.size() + kBytes - 1) / kBytes * kDigits + 1);
  const int size = EVP_EncodeBlock(
    text.data(), packed.data(), static_cast<int>(packed.size()));
  return std::to_string(aBytes.size()) + ":" +
         std::string(text.begin(), text.begin() + size);
}

std::optional<std::string>
Unpack(std::string_view aText)
{
  const auto colon = aText.find(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::size_t size = 0;
  std::from_chars(aText.data(), aText.data() + colon, size);
  const auto digits = aText.substr(colon + 1);
  if (size == 0 || size > kUnpackedLimitBytes) {
    return std::nullopt;
  }
  std::vector<unsigned char> packed(digits.size() / kDigits * kBytes + kBytes);
  const int count = EVP_DecodeBlock(
    packed.data(), Data(digits), static_cast<int>(digits.size()));
  std::string bytes(size, '\0');
  uLongf unpacked = size;
  if (count < 0 ||
      uncompress(reinterpret_cast<unsigned char*>(bytes.data()),
                 &unpacked,
                 packed.data(),
                 static_cast<uLong>(count)) != Z_OK ||
      unpacked != size) {
    return std::nullopt;
  }
  return bytes;
}

} // namespace sapphirespar
