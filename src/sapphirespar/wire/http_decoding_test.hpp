// Decodes bytes as a server or a client of this module does, and checks what
// has to hold whatever the bytes are. Used by the fuzz targets and by the test
// that replays their seeds.
#pragma once

#include <string_view>

namespace sapphirespar::wire {

// Decodes requests until the bytes end or one is refused. Throws
// std::logic_error if it depends on how the bytes are cut into pieces which
// requests are taken, or if one is taken whose length is in doubt.
void CheckRequests(std::string_view aBytes);

// The same for answers on one connection. No interim status may end an answer,
// and a body never exceeds its limit.
void CheckAnswers(std::string_view aBytes);

} // namespace sapphirespar::wire
