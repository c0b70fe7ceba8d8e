// Why a request waited, was refused or went where it went: the steps of recent
// requests, kept for operators who ask.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/base/timer_service.hpp"

#include <chrono>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace sapphirespar::router {

// One thing that happened to a request.
struct story_step
{
  // Since the request's arrival.
  std::chrono::microseconds mAt{ 0 };
  // Such as "slot", "attempt" or "refused".
  std::string mEvent;
  std::string mDetail;
};

// All that happened to one request in this router.
struct request_story
{
  request_id mId;
  class_id mClass;
  account_id mAccount;
  std::string mPool;
  std::vector<story_step> mSteps;
  // How it ended for its caller, such as "done" or "queue_full".
  std::string mEnd;
};

// Returns a story as a JSON object.
std::string StoryJson(const request_story& aStory);

// Keeps the newest stories. Safe on any thread.
class story_log
{
public:
  // Adds a story; over the bound the oldest goes.
  void Add(request_story aStory);

  std::optional<request_story> Find(const request_id& aId) const;

  // Returns up to aLimit of the newest stories of a class, newest first.
  std::vector<request_story> Recent(const class_id& aClass,
                                    std::size_t aLimit) const;

private:
  mutable std::mutex mMutex;
  // The newest is last.
  std::deque<request_story> mStories;
};

} // namespace sapphirespar::router
