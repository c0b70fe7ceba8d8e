// Stores request histories and formats them as JSON.
#include "sapphirespar/router/request_history_log.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <iterator>

namespace sapphirespar::router {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxHistories = 5000;

json::value
ToJson(const history_event& aEvent)
{
  constexpr double kMicrosecondsPerMillisecond = 1000;
  return json::object{
    { "at_ms",
      static_cast<double>(aEvent.mAt.count()) / kMicrosecondsPerMillisecond },
    { "event", aEvent.mEvent },
    { "detail", aEvent.mDetail },
  };
}

} // namespace

std::string
HistoryJson(const request_history& aHistory)
{
  json::array events;
  std::ranges::transform(aHistory.mEvents, std::back_inserter(events), ToJson);
  return json::serialize(json::object{
    { "request", aHistory.mId.mText },
    { "class", aHistory.mClass.mText },
    { "account", aHistory.mAccount.mText },
    { "pool", aHistory.mPool },
    { "end", aHistory.mEnd },
    { "steps", std::move(events) },
  });
}

void
request_history_log::Add(request_history aHistory)
{
  const std::lock_guard lock(mMutex);
  mHistories.push_back(std::move(aHistory));
  if (mHistories.size() > kMaxHistories) {
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
