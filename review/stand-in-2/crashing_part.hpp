// Servers that end when they begin to answer a request with one part of a
// prompt, among sound requests.
#pragma once

#include "talk.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace review {

class crashing_part
{
public:
  // The bounds of the rule.
  static constexpr milliseconds kContact{ 3000 };
  static constexpr int kCrashesToLearn = 5;
  static constexpr int kMostLate = 3;

  using written_hook = std::function<std::string(const std::string& aHead,
                                                 const std::string& aEvent)>;

  // aWritten: what a server writes of an answer's head and first event before
  // it ends.
  crashing_part(record& aRecord, unsigned aServers, written_hook aWritten);

  fleet& Fleet() { return mFleet; }
  // Starts the gateways and waits until they are in touch.
  bool Start();
  void Send(unsigned aNumber, bool aBad);
  // Requests with the part count as late only from now on, as far as they come
  // later than allowed.
  void CountFromNow() { mCountFrom = mRecord.Now(); }
  int Crashes() const { return mCrashes; }
  int Late() const { return mLate; }
  void RecordCounts();

private:
  bool OnBegin(unsigned aServer,
               const http_call& aCall,
               connection& aConnection,
               const std::string& aHead);

  record& mRecord;
  const written_hook mWritten;
  fleet mFleet{ 3 };
  std::vector<std::unique_ptr<talk_server>> mServers;
  std::atomic<int> mCrashes{ 0 };
  std::atomic<std::int64_t> mFifthAt{ -1 };
  std::atomic<std::int64_t> mCountFrom{ 0 };
  std::atomic<int> mLate{ 0 };
  std::atomic<int> mSound{ 0 };
  std::atomic<int> mServed{ 0 };
};

} // namespace review
