// Formats the blackboard as JSON for operators.
#pragma once

#include "sapphirespar/model/blackboard.hpp"

#include <span>
#include <string>

namespace sapphirespar::router {

// Returns the control state as a JSON object. Times are given as ages in
// milliseconds at aNow.
std::string StatusJson(const blackboard& aBoard,
                       std::span<const pool_load> aQueues,
                       steady_time aNow);

} // namespace sapphirespar::router
