// The story log and its JSON.
#include "sapphirespar/router/story_log.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <iterator>

namespace sapphirespar::router {
namespace {

namespace json = boost::json;

constexpr std::size_t kKeptStories = 5000;

json::value
ToJson(const story_step& aStep)
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
StoryJson(const request_story& aStory)
{
  json::array steps;
  std::ranges::transform(aStory.mSteps, std::back_inserter(steps), ToJson);
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
story_log::Add(request_story aStory)
{
  const std::lock_guard lock(mMutex);
  mStories.push_back(std::move(aStory));
  if (mStories.size() > kKeptStories) {
    mStories.pop_front();
  }
}

std::optional<request_story>
story_log::Find(const request_id& aId) const
{
  const std::lock_guard lock(mMutex);
  const auto found = std::ranges::find(mStories, aId, &request_story::mId);
  return found == mStories.end() ? std::nullopt : std::optional(*found);
}

std::vector<request_story>
story_log::Recent(const class_id& aClass, std::size_t aLimit) const
{
  const std::lock_guard lock(mMutex);
  std::vector<request_story> recent;
  for (auto item = mStories.rbegin();
       item != mStories.rend() && recent.size() < aLimit;
       ++item) {
    if (item->mClass == aClass) {
      recent.push_back(*item);
    }
  }
  return recent;
}

} // namespace sapphirespar::router
