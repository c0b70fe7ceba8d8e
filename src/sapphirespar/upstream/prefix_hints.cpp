// Collects prefix hints from cache events and answered requests.
#include "sapphirespar/upstream/prefix_hints.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace sapphirespar::upstream {
namespace {

namespace json = boost::json;

// Number of hints kept for each upstream; the oldest are dropped.
constexpr std::size_t kMaxHints = 256;
constexpr std::chrono::seconds kHintTtl{ 120 };

std::optional<std::uint64_t>
NumberAt(const json::object& aObject, std::string_view aKey)
{
  const auto* value = aObject.if_contains(aKey);
  if (value == nullptr) {
    return std::nullopt;
  }
  json::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  return error ? std::nullopt : std::optional(number);
}

std::optional<cache_event>
ReadEvent(const json::value& aValue)
{
  const auto* object = aValue.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const auto number = NumberAt(*object, "number");
  const auto prefix = NumberAt(*object, "prefix");
  const auto* kind = object->if_contains("kind");
  if (!number || !prefix || kind == nullptr || !kind->is_string()) {
    return std::nullopt;
  }
  return cache_event{ *number, kind->get_string() == "stored", *prefix };
}

} // namespace

std::optional<cache_report>
ReadCacheReport(std::string_view aBody)
{
  json::error_code error;
  const auto document = json::parse(aBody, error);
  const auto* object = error ? nullptr : document.if_object();
  const auto* events =
    object == nullptr ? nullptr : object->if_contains("events");
  if (events == nullptr || !events->is_array()) {
    return std::nullopt;
  }
  const auto next = NumberAt(*object, "next");
  if (!next) {
    return std::nullopt;
  }
  cache_report report;
  report.mNext = *next;
  for (const auto& item : events->get_array()) {
    const auto event = ReadEvent(item);
    if (!event) {
      return std::nullopt;
    }
    report.mEvents.push_back(*event);
  }
  return report;
}

std::uint64_t
prefix_hints::NextEvent(const upstream_id& aUpstream) const
{
  const auto found = mEngines.find(aUpstream);
  return found == mEngines.end() ? 0 : found->second.mNext;
}

void
prefix_hints::Apply(const upstream_id& aUpstream,
                    const cache_report& aReport,
                    steady_time aNow)
{
  auto& hints = mEngines[aUpstream];
  if (aReport.mNext < hints.mNext) {
    hints.mLastSeen.clear();
  }
  hints.mNext = aReport.mNext;
  for (const auto& event : aReport.mEvents) {
    if (event.mStored) {
      RecordSeen(hints, event.mPrefix, aNow);
    } else {
      hints.mLastSeen.erase(event.mPrefix);
    }
  }
}

void
prefix_hints::Touch(const upstream_id& aUpstream,
                    std::uint64_t aPrefix,
                    steady_time aNow)
{
  if (aPrefix != 0) {
    RecordSeen(mEngines[aUpstream], aPrefix, aNow);
  }
}

void
prefix_hints::RecordSeen(engine_hints& aHints,
                         std::uint64_t aPrefix,
                         steady_time aNow)
{
  aHints.mLastSeen[aPrefix] = aNow;
  if (aHints.mLastSeen.size() > kMaxHints) {
    const auto oldest = std::ranges::min_element(
      aHints.mLastSeen, {}, [](const auto& aItem) { return aItem.second; });
    aHints.mLastSeen.erase(oldest);
  }
}

void
prefix_hints::Forget(const upstream_id& aUpstream)
{
  mEngines.erase(aUpstream);
}

std::vector<std::uint64_t>
prefix_hints::Prefixes(const upstream_id& aUpstream, steady_time aNow) const
{
  const auto found = mEngines.find(aUpstream);
  if (found == mEngines.end()) {
    return {};
  }
  using hint = std::pair<std::uint64_t, steady_time>;
  std::vector<hint> live;
  std::ranges::copy_if(
    found->second.mLastSeen, std::back_inserter(live), [&](const auto& aItem) {
      return aNow - aItem.second < kHintTtl;
    });
  std::ranges::stable_sort(live, std::ranges::greater{}, &hint::second);
  std::vector<std::uint64_t> prefixes;
  std::ranges::transform(live, std::back_inserter(prefixes), &hint::first);
  return prefixes;
}

} // namespace sapphirespar::upstream
