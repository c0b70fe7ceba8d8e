// The blackboard as JSON, for operators.
#pragma once

#include "sapphirespar/model/blackboard.hpp"

#include <span>
#include <string>

namespace sapphirespar::router {

// Returns the control state as one JSON object; times are ages in
// milliseconds before aNow.
std::string StatusJson(const blackboard& aBoard,
                       std::span<const pool_load> aQueues,
                       steady_time aNow);

} // namespace sapphirespar::router
