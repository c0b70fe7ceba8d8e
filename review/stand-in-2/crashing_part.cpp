// Crashes, arrivals and what callers of sound requests get.
#include "crashing_part.hpp"

#include <string>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr milliseconds kDownTime{ 2000 };

bool
HasPart(const http_call& aCall)
{
  return HeaderOf(aCall.mHeaders, "x-prefix-hash").find("bad:") !=
         std::string::npos;
}

} // namespace

crashing_part::crashing_part(record& aRecord,
                             unsigned aServers,
                             written_hook aWritten)
  : mRecord(aRecord)
  , mWritten(std::move(aWritten))
{
  mFleet.Store().Put("config", "main", TalkConfig());
  for (unsigned number = 0; number < aServers; ++number) {
    mServers.push_back(std::make_unique<talk_server>(
      mFleet.Store(),
      mRecord,
      talk_server_settings{ "i-" + std::to_string(number) },
      [this, number](const http_call& aCall,
                     connection& aConnection,
                     const std::string& aHead) {
        return OnBegin(number, aCall, aConnection, aHead);
      }));
  }
}

bool
crashing_part::Start()
{
  const bool started = mFleet.Start();
  std::this_thread::sleep_for(kContact);
  return started;
}

bool
crashing_part::OnBegin(unsigned aServer,
                       const http_call& aCall,
                       connection& aConnection,
                       const std::string& aHead)
{
  if (!HasPart(aCall)) {
    return true;
  }
  auto& server = *mServers[aServer];
  const auto now = mRecord.Now();
  const auto fifth = mFifthAt.load();
  const bool late =
    fifth >= 0 && now > fifth + kContact.count() && now >= mCountFrom;
  mLate += late ? 1 : 0;
  mRecord.Add(server.Id() + " begins to answer " +
              HeaderOf(aCall.mHeaders, "x-request-id") + " with the part" +
              (late ? ", late" : ""));
  aConnection.Write(mWritten(aHead, EventChunk(1, "v1")));
  if (server.IsUp()) {
    server.Crash();
    server.ReturnAfter(kDownTime);
    if (++mCrashes == kCrashesToLearn) {
      mFifthAt = mRecord.Now();
    }
  }
  return false;
}

void
crashing_part::Send(unsigned aNumber, bool aBad)
{
  constexpr unsigned kTopics = 10;
  const auto& gateways = mFleet.Gateways();
  const auto to = gateways[aNumber % gateways.size()]->Callers();
  const auto part =
    aBad ? std::string("bad") : "a" + std::to_string(aNumber % kTopics);
  std::thread([this, to, aNumber, aBad, part] {
    constexpr milliseconds kPatience{ 12000 };
    const auto answer =
      Call(to, TalkCall(aNumber, "c0:500," + part + ":300"), kPatience);
    const bool served = answer.mStatus == 200 && answer.mWhole;
    mRecord.Add("the caller of r" + std::to_string(aNumber) + " gets " +
                std::to_string(answer.mStatus) + (served ? "" : " cut"));
    if (!aBad) {
      ++mSound;
      mServed += served ? 1 : 0;
    }
  }).detach();
}

void
crashing_part::RecordCounts()
{
  mRecord.Add("crashes: " + std::to_string(mCrashes) + "; the fifth at " +
              std::to_string(mFifthAt) +
              " ms; requests with the part later than contact_ms after it: " +
              std::to_string(mLate) + "; sound requests served: " +
              std::to_string(mServed) + " of " + std::to_string(mSound));
}

} // namespace review
