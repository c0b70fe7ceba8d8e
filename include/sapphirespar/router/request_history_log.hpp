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
struct history_event
{
  // Since the request's arrival.
  std::chrono::microseconds mAt{ 0 };
  // Such as "slot", "attempt" or "refused".
  std::string mEvent;
  std::string mDetail;
};

// All that happened to one request in this router.
struct request_history
{
  request_id mId;
  class_id mClass;
  account_id mAccount;
  std::string mPool;
  std::vector<history_event> mEvents;
  // How it ended for its caller, such as "done" or "queue_full".
  std::string mEnd;
};

// Returns a story as a JSON object.
std::string HistoryJson(const request_history& aStory);

// Keeps the newest stories. Safe on any thread.
class request_history_log
{
public:
  // Adds a story; over the bound the oldest goes.
  void Add(request_history aStory);

  std::optional<request_history> Find(const request_id& aId) const;

  // Returns up to aLimit of the newest stories of a class, newest first.
  std::vector<request_history> Recent(const class_id& aClass,
                                      std::size_t aLimit) const;

private:
  mutable std::mutex mMutex;
  // The newest is last.
  std::deque<request_history> mHistories;
};

} // namespace sapphirespar::router
