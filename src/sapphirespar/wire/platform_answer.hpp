// The platform's HTTP answers as values.
#pragma once

#include "sapphirespar/model/platform.hpp"
#include "sapphirespar/wire/http_message.hpp"

#include <string>
#include <string_view>

namespace sapphirespar::wire {

// The HTTP response, or why there is none, and the status it stands for.
struct call_result
{
  platform_status mStatus = platform_status::Unavailable;
  http_response mResponse;
};

// One page of a list.
struct list_page
{
  list_answer mAnswer;
  bool mHasMore = false;
};

// An answer that can't be read counts as none.
list_page ToListPage(call_result aResult, std::string_view aKind);
list_answer ToWatchAnswer(call_result aResult, std::string_view aKind);
vm_list_answer ToVmAnswer(call_result aResult);

// The object after a success or a conflict, as the store sent it. A write
// whose success can't be read has an unknown version and counts as Unknown.
object_answer ToObjectAnswer(call_result aResult, object_key aKey);

// What is sent to create an object, or to replace the one of aExpected.
std::string ObjectBody(std::string_view aName,
                       std::string_view aValue,
                       object_version aExpected);

} // namespace sapphirespar::wire
