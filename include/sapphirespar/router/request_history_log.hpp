// Keeps the histories of recent requests, which show operators why a request
// waited, was refused or was sent to a particular upstream.
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

// One recorded event of a request.
struct history_event
{
  // Time since the request's arrival.
  std::chrono::microseconds mAt{ 0 };
  // For example "slot", "attempt" or "end".
  std::string mEvent;
  std::string mDetail;
};

// The recorded events of one request in this router.
struct request_history
{
  request_id mId;
  class_id mClass;
  account_id mAccount;
  std::string mPool;
  std::vector<history_event> mEvents;
  // The result for the caller, such as "done" or "queue_full".
  std::string mEnd;
};

// Returns a request history as a JSON object.
std::string HistoryJson(const request_history& aHistory);

// Keeps the newest request histories. May be used on any thread.
class request_history_log
{
public:
  // Adds a history. If the log is full, the oldest one is dropped.
  void Add(request_history aHistory);

  std::optional<request_history> Find(const request_id& aId) const;

  // Returns up to aLimit of the newest histories of a class, newest first.
  std::vector<request_history> Recent(const class_id& aClass,
                                      std::size_t aLimit) const;

private:
  mutable std::mutex mMutex;
  // The newest is last.
  std::deque<request_history> mHistories;
};

} // namespace sapphirespar::router
