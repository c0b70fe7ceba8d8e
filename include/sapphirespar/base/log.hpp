// Structured logs: one line of key=value pairs for each event, by log4cplus.
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
  // Each line is written before the event returns.
  StandardError,
  // Never waits for a reader: what does not fit is dropped, counted, and told
  // of by an event log_lines_dropped once there is room.
  StandardOutput,
};

// Sends all later events of at least aLevel to aTarget, each line carrying
// node=aNode. A second call changes the level only.
void StartLog(log_level aLevel,
              std::string_view aNode,
              log_target aTarget = log_target::StandardError);

// Lines that were dropped because nobody read them, since the start.
std::uint64_t DroppedLogLines();

// Writes "event=aEvent key=value ..." with values quoted where needed. Does
// nothing before StartLog.
void LogEvent(log_level aLevel,
              std::string_view aEvent,
              std::initializer_list<log_field> aFields = {});

// Returns aValue as it stands in a log line: quoted if it holds a space, a
// quote, an equals sign or a control character.
std::string QuoteLogValue(std::string_view aValue);

} // namespace sapphirespar
