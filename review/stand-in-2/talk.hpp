// One resumable streaming route with its servers and callers.
#pragma once

#include "deployment.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace review {

// The configuration: one route, one service, one account with one key.
std::string TalkConfig();

// A request of the route. aPrompt: the shared parts of its prompt, each as
// "HEX:TOKENS"; a part of its own follows.
http_call TalkCall(unsigned aNumber, const std::string& aPrompt);

struct talk_server_settings
{
  std::string mId;
  // Of the software, as events and entries name it.
  std::string mVersion = "v1";
  int mEvents = 15;
  milliseconds mPrefill{ 25 };
  milliseconds mGap{ 10 };
};

// An event of a stream as a chunk of its answer.
std::string EventChunk(int aId, const std::string& aData);

class talk_server
{
public:
  // Called when an answer would begin, with its head. Returns false if the
  // server ends instead.
  using begin_hook =
    std::function<bool(const http_call&, connection&, const std::string&)>;

  talk_server(store& aStore,
              record& aRecord,
              talk_server_settings aSettings,
              begin_hook aOnBegin = {});

  const std::string& Id() const { return mSettings.mId; }
  // Writes the entry; aVersion is the JSON text of the field.
  void List(const std::string& aVersion);
  void Unlist();
  // Ends as a process does that crashes.
  void Crash();
  // Starts again after aTime, with a new start time in its entry.
  void ReturnAfter(milliseconds aTime);
  bool IsUp() const { return mUp; }
  // Streams that run now.
  int Running() const { return mRunning; }

private:
  bool Serve(const http_call& aCall, connection& aConnection);
  bool Stream(const http_call& aCall, connection& aConnection);

  store& mStore;
  record& mRecord;
  const talk_server_settings mSettings;
  const begin_hook mOnBegin;
  std::atomic<bool> mUp{ true };
  std::atomic<int> mRunning{ 0 };
  std::string mListedVersion;
  std::unique_ptr<http_server> mServer;
};

} // namespace review
