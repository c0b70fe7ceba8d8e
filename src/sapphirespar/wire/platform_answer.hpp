// Converts between the platform's JSON and the values of the platform model.
#pragma once

#include "sapphirespar/model/platform.hpp"
#include "sapphirespar/wire/http_message.hpp"

#include <string>
#include <string_view>

namespace sapphirespar::wire {

// The status of a call and its HTTP response, which is empty if none arrived.
struct call_result
{
  platform_status mStatus = platform_status::Unavailable;
  http_response mResponse;
  // Zero if the answer tells none.
  store_era mEra = 0;
};

// One page of a listing.
struct list_page
{
  list_answer mAnswer;
  bool mHasMore = false;
};

// Convert the results of reads. A failed call keeps its status; a successful
// response that cannot be parsed yields platform_status::Unavailable.
list_page ToListPage(call_result aResult, std::string_view aKind);
list_answer ToWatchAnswer(call_result aResult, std::string_view aKind);
vm_list_answer ToVmAnswer(call_result aResult);

// Converts the result of a call for one object. The answer holds the object
// that the store sent, also after a conflict. A successful response that cannot
// be parsed yields platform_status::Unknown, because the version of the object
// is unknown. So does one that names another object: the store may send an
// answer twice, and the second copy comes where the next call expects its own.
object_answer ToObjectAnswer(call_result aResult, object_key aKey);

// The same for a call that has written aValue: the answer must not hold another
// value.
object_answer ToWriteAnswer(call_result aResult,
                            object_key aKey,
                            std::string_view aValue);

// Returns the request body that creates an object, or replaces the object of
// version aExpected.
std::string ObjectBody(std::string_view aName,
                       std::string_view aValue,
                       object_version aExpected);

} // namespace sapphirespar::wire
