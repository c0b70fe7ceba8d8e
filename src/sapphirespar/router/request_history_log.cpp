// The story log and its JSON.
#include "sapphirespar/router/request_history_log.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <iterator>

namespace sapphirespar::router {
namespace {

namespace json = boost::json;

constexpr std::size_t kKeptStories = 5000;

json::value
ToJson(const history_event& aStep)
{
  constexpr double kMicrosecondsPerMillisecond = 1000;
  return json::object{
    { "at_ms",
      static_cast<double>(aStep.mAt.count()) / kMicrosecondsPerMillisecond },
    { "event", aStep.mEvent },
    { "detail", aStep.mDetail },
  };
}

} // namespace

std::string
HistoryJson(const request_history& aStory)
{
  json::array steps;
  std::ranges::transform(aStory.mEvents, std::back_inserter(steps), ToJson);
  return json::serialize(json::object{
    { "request", aStory.mId.mText },
    { "class", aStory.mClass.mText },
    { "account", aStory.mAccount.mText },
    { "pool", aStory.mPool },
    { "end", aStory.mEnd },
    { "steps", std::move(steps) },
  });
}

void
request_history_log::Add(request_history aStory)
{
  const std::lock_guard lock(mMutex);
  mHistories.push_back(std::move(aStory));
  if (mHistories.size() > kKeptStories) {
    mHistories.pop_front();
  }
}

std::optional<request_history>
request_history_log::Find(const request_id& aId) const
{
  const std::lock_guard lock(mMutex);
  const auto found = std::ranges::find(mHistories, aId, &request_history::mId);
  return found == mHistories.end() ? std::nullopt : std::optional(*found);
}

std::vector<request_history>
request_history_log::Recent(const class_id& aClass, std::size_t aLimit) const
{
  const std::lock_guard lock(mMutex);
  std::vector<request_history> recent;
  for (auto item = mHistories.rbegin();
       item != mHistories.rend() && recent.size() < aLimit;
       ++item) {
    if (item->mClass == aClass) {
      recent.push_back(*item);
    }
  }
  return recent;
}

} // namespace sapphirespar::router
