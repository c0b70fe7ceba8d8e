// Converts crash reports to and from the gossip's wire types. Internal to wire.
#pragma once

#include "sapphirespar/model/crash_report.hpp"

#include "gen/gossip_types.h"

#include <chrono>
#include <cstdint>

namespace sapphirespar::wire {

// Ages over a day need no distinction and are sent as one day.
std::int32_t ToAgeMs(std::chrono::milliseconds aAge);

gen::gossip_crash_report ToWireReport(const crash_report& aReport);

// Negative ages and counts are read as zero.
crash_report FromWireReport(const gen::gossip_crash_report& aReport);

} // namespace sapphirespar::wire
