// Prefix cache and load history of the stand-in engine.
#include "engine_cache.hpp"

#include <xxhash.h>

#include <algorithm>

namespace sapphirespar::tools {
namespace {

constexpr std::size_t kMaxPrefixes = 64;
// Prompts that agree in this many leading bytes share a cache entry.
constexpr std::size_t kPrefixBytes = 64;
constexpr std::size_t kMaxEvents = 1000;
// Every event whose number is a multiple of this is never published.
constexpr std::uint64_t kDroppedEventPeriod = 10;
constexpr std::chrono::milliseconds kPublishDelay{ 200 };
constexpr std::size_t kMaxSamples = 10000;

} // namespace

bool
prefix_cache::LookUpOrInsert(std::string_view aPrompt, engine_time aNow)
{
  const auto beginning = aPrompt.substr(0, kPrefixBytes);
  const std::uint64_t prefix = XXH64(beginning.data(), beginning.size(), 0);
  const auto found = std::ranges::find(mPrefixes, prefix);
  if (found != mPrefixes.end()) {
    mPrefixes.splice(mPrefixes.begin(), mPrefixes, found);
    return true;
  }
  mPrefixes.push_front(prefix);
  AddEvent(true, prefix, aNow);
  if (mPrefixes.size() > kMaxPrefixes) {
    AddEvent(false, mPrefixes.back(), aNow);
    mPrefixes.pop_back();
  }
  return false;
}

void
prefix_cache::AddEvent(bool aStored, std::uint64_t aPrefix, engine_time aNow)
{
  const auto number = mNextNumber++;
  if (number % kDroppedEventPeriod == 0) {
    return;
  }
  mEvents.push_back({ number, aNow + kPublishDelay, aStored, aPrefix });
  if (mEvents.size() > kMaxEvents) {
    mEvents.pop_front();
  }
}

json::object
prefix_cache::Events(std::uint64_t aFrom, engine_time aNow) const
{
  json::array events;
  std::uint64_t next = aFrom;
  for (const auto& event : mEvents) {
    if (event.mNumber < aFrom || event.mPublished > aNow) {
      continue;
    }
    json::object item;
    item["number"] = event.mNumber;
    item["kind"] = event.mStored ? "stored" : "evicted";
    item["prefix"] = event.mPrefix;
    events.push_back(std::move(item));
    next = event.mNumber + 1;
  }
  json::object body;
  body["events"] = std::move(events);
  body["next"] = next;
  return body;
}

void
load_history::Add(load_sample aSample)
{
  mSamples.push_back(aSample);
  if (mSamples.size() > kMaxSamples) {
    mSamples.pop_front();
  }
}

load_sample
load_history::At(engine_time aTime) const
{
  const auto later = std::ranges::upper_bound(
    mSamples, aTime, std::ranges::less{}, &load_sample::mAt);
  return later == mSamples.begin() ? load_sample{} : *std::prev(later);
}

} // namespace sapphirespar::tools
