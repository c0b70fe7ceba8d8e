// Structured logs: one line of key=value pairs for each event.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace sapphirespar {

enum class log_level
{
  Debug,
  Info,
  Warning,
  Error,
};

// One key=value pair of a log line.
struct log_field
{
  std::string_view mKey;
  std::string mValue;

  log_field(std::string_view aKey, std::string_view aValue)
    : mKey(aKey)
    , mValue(aValue)
  {
  }
  template<class Number>
  requires std::is_arithmetic_v<Number> log_field(std::string_view aKey,
                                                  Number aValue)
    : mKey(aKey)
    , mValue(std::to_string(aValue))
  {
  }
};

enum class log_target
{
  // LogEvent returns after the line has been written.
  StandardError,
  // Never blocks. If the reader is too slow, lines are dropped and counted; an
  // event log_lines_dropped reports their number once there is room again.
  StandardOutput,
};

// Writes all later events of at least aLevel to aTarget, with node=aNode on
// each line. A second call only changes the level.
void StartLog(log_level aLevel,
              std::string_view aNode,
              log_target aTarget = log_target::StandardError);

// Returns the number of lines dropped since the start, because standard output
// was not read fast enough.
std::uint64_t DroppedLogLines();

// Writes "event=aEvent key=value ..." with values quoted where needed. Does
// nothing before StartLog.
void LogEvent(log_level aLevel,
              std::string_view aEvent,
              std::initializer_list<log_field> aFields = {});

// Returns aValue as written in a log line: quoted if it is empty or contains a
// space, a quote, a backslash, an equals sign or a control character. Control
// characters become spaces.
std::string QuoteLogValue(std::string_view aValue);

} // namespace sapphirespar
