// Log lines through log4cplus.
#include "sapphirespar/base/log.hpp"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <algorithm>
#include <atomic>
#include <memory>

namespace sapphirespar {
namespace {

// Zero until StartLog has run, so that tests log nothing.
std::atomic<bool> sStarted{ false };
std::string sNode;

log4cplus::LogLevel
ToLibraryLevel(log_level aLevel)
{
  switch (aLevel) {
    case log_level::Debug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::Info:
      return log4cplus::INFO_LOG_LEVEL;
    case log_level::Warning:
      return log4cplus::WARN_LOG_LEVEL;
    case log_level::Error:
      break;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

bool
NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() || std::ranges::any_of(aValue, [](char aByte) {
           return static_cast<unsigned char>(aByte) <= ' ' || aByte == '"' ||
                  aByte == '=' || aByte == '\\';
         });
}

} // namespace

std::string
QuoteLogValue(std::string_view aValue)
{
  if (!NeedsQuotes(aValue)) {
    return std::string(aValue);
  }
  std::string quoted = "\"";
  for (const char byte : aValue) {
    if (byte == '"' || byte == '\\') {
      quoted += '\\';
    }
    quoted += static_cast<unsigned char>(byte) < ' ' ? ' ' : byte;
  }
  return quoted + '"';
}

void
StartLog(log_level aLevel, std::string_view aNode)
{
  static log4cplus::Initializer initializer;
  constexpr bool kToStandardError = true;
  constexpr bool kFlushEachLine = true;
  log4cplus::SharedAppenderPtr appender(
    new log4cplus::ConsoleAppender(kToStandardError, kFlushEachLine));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
    "time=%d{%Y-%m-%dT%H:%M:%S.%qZ} level=%p %m%n"));
  auto root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(ToLibraryLevel(aLevel));
  sNode = QuoteLogValue(aNode);
  sStarted = true;
}

void
LogEvent(log_level aLevel,
         std::string_view aEvent,
         std::initializer_list<log_field> aFields)
{
  if (!sStarted) {
    return;
  }
  auto root = log4cplus::Logger::getRoot();
  const auto level = ToLibraryLevel(aLevel);
  if (!root.isEnabledFor(level)) {
    return;
  }
  std::string line = "node=" + sNode + " event=" + QuoteLogValue(aEvent);
  for (const auto& field : aFields) {
    line += ' ';
    line += field.mKey;
    line += '=';
    line += QuoteLogValue(field.mValue);
  }
  root.forcedLog(level, line);
}

} // namespace sapphirespar
