// The gateways have found a part of prompts that crashes servers. Then all of
// their processes are killed at once, and the part comes again.
#include "../stand-in-2/crashing_part.hpp"

#include <string>
#include <thread>

namespace {

using namespace review;

constexpr unsigned kServers = 8;
constexpr milliseconds kBetweenRequests{ 25 };
// One request with the part comes with so many others.
constexpr unsigned kOthersPerBad = 5;
constexpr milliseconds kFirstTime{ 10000 };
constexpr milliseconds kSecondTime{ 8000 };

// Sends requests for this time, with the part among them or without it.
void
SendFor(milliseconds aTime, bool aBad, unsigned& aNumber, crashing_part& aScene)
{
  const auto end = clock::now() + aTime;
  while (clock::now() < end) {
    ++aNumber;
    aScene.Send(aNumber, aBad && aNumber % kOthersPerBad == 0);
    std::this_thread::sleep_for(kBetweenRequests);
  }
}

int
Run(record& aRecord, bool aTrouble)
{
  // A crash at the end of the head is noticed.
  crashing_part scene(
    aRecord, kServers, [](const std::string& aHead, const std::string&) {
      return aHead;
    });
  if (!scene.Start()) {
    return kNotRun;
  }
  unsigned number = 0;
  SendFor(kFirstTime, true, number, scene);
  aRecord.Add("requests with the part pause");
  if (scene.Crashes() < crashing_part::kCrashesToLearn) {
    return kNotRun;
  }
  if (aTrouble) {
    aRecord.Add("all gateways are killed");
    scene.Fleet().KillAll();
  }
  constexpr milliseconds kStart{ 5000 };
  if (!scene.Fleet().AwaitReady(kStart)) {
    return kNotRun;
  }
  aRecord.Add("all gateways are ready");
  constexpr milliseconds kMargin{ 500 };
  SendFor(crashing_part::kContact + kMargin, false, number, scene);
  aRecord.Add("requests with the part come again");
  scene.CountFromNow();
  SendFor(kSecondTime, true, number, scene);
  std::this_thread::sleep_for(crashing_part::kContact);
  scene.RecordCounts();
  return scene.Late() > crashing_part::kMostLate ? kBroken : kHeld;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return review::RunCase(aCount, aArguments, Run);
}
