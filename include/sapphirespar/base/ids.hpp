// Strongly typed identifiers. Two kinds of identifier never convert into each
// other, so a class name cannot be passed where an account name is expected.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>

namespace sapphirespar {

// A name that is only comparable with names of the same kind.
template<class Tag>
struct name_of
{
  std::string mText;

  auto operator<=>(const name_of&) const = default;
  bool Empty() const { return mText.empty(); }
};

template<class Tag>
std::ostream&
operator<<(std::ostream& aOut, const name_of<Tag>& aName)
{
  return aOut << aName.mText;
}

using vm_id = name_of<struct vm_tag>;
using data_centre_id = name_of<struct data_centre_tag>;
using upstream_id = name_of<struct upstream_tag>;
using account_id = name_of<struct account_tag>;
using class_id = name_of<struct class_tag>;
using model_id = name_of<struct model_tag>;
using request_id = name_of<struct request_tag>;

// Numbers the lives of one VM's process; a restart always gets a higher one.
using incarnation_number = std::uint64_t;

// One life of one process.
struct process_id
{
  vm_id mVm;
  incarnation_number mIncarnation = 0;

  auto operator<=>(const process_id&) const = default;
};

// Returns a new random request identifier of 32 hexadecimal digits.
request_id NewRequestId();

// Returns aDigits random hexadecimal digits.
std::string RandomHex(unsigned aDigits);

} // namespace sapphirespar

template<class Tag>
struct std::hash<sapphirespar::name_of<Tag>>
{
  std::size_t operator()(const sapphirespar::name_of<Tag>& aName) const
  {
    return std::hash<std::string>{}(aName.mText);
  }
};
