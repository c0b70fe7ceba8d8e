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

// A name that can only be compared with names of the same Tag.
template<class Tag>
struct tagged_name
{
  std::string mText;

  auto operator<=>(const tagged_name&) const = default;
  bool Empty() const { return mText.empty(); }
};

template<class Tag>
std::ostream&
operator<<(std::ostream& aOut, const tagged_name<Tag>& aName)
{
  return aOut << aName.mText;
}

using vm_id = tagged_name<struct vm_tag>;
using data_centre_id = tagged_name<struct data_centre_tag>;
using upstream_id = tagged_name<struct upstream_tag>;
using account_id = tagged_name<struct account_tag>;
using class_id = tagged_name<struct class_tag>;
using model_id = tagged_name<struct model_tag>;
using request_id = tagged_name<struct request_tag>;

// Distinguishes the processes that run on one VM one after another; a restarted
// process has a higher number.
using incarnation_number = std::uint64_t;

// Identifies one process of a VM, from its start to its exit.
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
struct std::hash<sapphirespar::tagged_name<Tag>>
{
  std::size_t operator()(const sapphirespar::tagged_name<Tag>& aName) const
  {
    return std::hash<std::string>{}(aName.mText);
  }
};
