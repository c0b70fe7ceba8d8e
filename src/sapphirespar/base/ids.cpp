// Random identifiers, drawn from one generator per thread.
#include "sapphirespar/base/ids.hpp"

#include <algorithm>
#include <random>

namespace sapphirespar {
namespace {

std::mt19937_64&
Generator()
{
  thread_local std::mt19937_64 generator{ std::random_device{}() };
  return generator;
}

} // namespace

std::string
RandomHex(unsigned aDigits)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::uniform_int_distribution<std::size_t> pick(0, kDigits.size() - 1);
  std::string text(aDigits, '0');
  std::ranges::generate(text, [&] { return kDigits[pick(Generator())]; });
  return text;
}

request_id
NewRequestId()
{
  constexpr unsigned kRequestIdDigits = 32;
  return { RandomHex(kRequestIdDigits) };
}

} // namespace sapphirespar
