// The platform's HTTP answers as values.
#pragma once

#include "sapphirespar/model/platform.hpp"
#include "sapphirespar/wire/http_message.hpp"

#include <string_view>

namespace sapphirespar::wire {

// The HTTP response, or why there is none, and the status it stands for.
struct call_result
{
  platform_status mStatus = platform_status::Unavailable;
  http_response mResponse;
};

// An answer that can't be read counts as none.
list_answer ToListAnswer(call_result aResult, std::string_view aKind);
vm_list_answer ToVmAnswer(call_result aResult);

// Of a read the body is the object's value; of a write it is what was sent.
object_answer ToObjectAnswer(call_result aResult, object_key aKey);

} // namespace sapphirespar::wire
