// The gateway that reads the store for the others is cut off from it for some
// seconds. Just after its return a server leaves without a notice.
#include "../stand-in-2/talk.hpp"

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace review;

constexpr int kServers = 3;
constexpr milliseconds kContact{ 3000 };
constexpr milliseconds kDrain{ 2000 };
constexpr milliseconds kCutTime{ 5000 };
constexpr milliseconds kAfterReturn{ 50 };
constexpr milliseconds kServesOn{ 6000 };
constexpr milliseconds kBetweenRequests{ 25 };

int
Run(record& aRecord, bool aTrouble)
{
  // The first one is the first reader.
  fleet fleet(3);
  fleet.Store().Put("config", "main", TalkConfig());
  std::atomic<std::int64_t> goneAt{ -1 };
  std::atomic<int> leaving{ -1 };
  std::atomic<int> late{ 0 };
  // When each request was sent; from gateways that are never cut off, only.
  constexpr std::size_t kMostRequests = 4096;
  std::vector<std::atomic<std::int64_t>> sentAt(kMostRequests);
  std::vector<std::unique_ptr<talk_server>> servers;
  for (int index = 0; index < kServers; ++index) {
    const auto id = "i-" + std::to_string(index);
    const auto onBegin =
      [&, index, id](const http_call& aCall, connection&, const std::string&) {
        const auto request = HeaderOf(aCall.mHeaders, "x-request-id");
        const auto sent = sentAt.at(std::stoul(request.substr(1))).load();
        const auto gone = goneAt.load();
        if (index == leaving && gone >= 0 && sent > gone + kDrain.count()) {
          ++late;
          aRecord.Add(request + ", sent at " + std::to_string(sent) +
                      " ms, reaches " + id + ", gone since " +
                      std::to_string(gone) + " ms");
        }
        return true;
      };
    servers.push_back(std::make_unique<talk_server>(
      fleet.Store(), aRecord, talk_server_settings{ id }, onBegin));
  }
  if (!fleet.Start()) {
    return kNotRun;
  }
  std::atomic<bool> stop{ false };
  std::thread traffic([&] {
    for (unsigned number = 1; !stop && number < kMostRequests; ++number) {
      const auto index = number % fleet.Gateways().size();
      const auto to = fleet.Gateways()[index]->Callers();
      sentAt[number] = index == 0 ? -1 : aRecord.Now();
      std::thread([to, number] {
        constexpr milliseconds kPatience{ 12000 };
        const auto topic = "a" + std::to_string(number % 16);
        Call(to, TalkCall(number, topic + ":300"), kPatience);
      }).detach();
      std::this_thread::sleep_for(kBetweenRequests);
    }
  });
  std::this_thread::sleep_for(kContact + kContact);
  fleet.Path(0).SetCut(aTrouble);
  aRecord.Add(aTrouble ? "edge-1 is cut off from the store" : "no cut");
  std::this_thread::sleep_for(kCutTime);
  fleet.Path(0).SetCut(false);
  aRecord.Add("edge-1 reaches the store");
  constexpr milliseconds kStep{ 5 };
  while (!fleet.Path(0).WasListRead()) {
    std::this_thread::sleep_for(kStep);
  }
  aRecord.Add("edge-1 has read the entries");
  std::this_thread::sleep_for(kAfterReturn);
  const auto busiest = std::ranges::max_element(
    servers, {}, [](const auto& aServer) { return aServer->Running(); });
  (*busiest)->Unlist();
  goneAt = aRecord.Now();
  leaving = static_cast<int>(busiest - servers.begin());
  aRecord.Add("the entry of " + (*busiest)->Id() + " is removed");
  std::this_thread::sleep_for(kServesOn);
  stop = true;
  traffic.join();
  std::this_thread::sleep_for(kContact);
  aRecord.Add("late requests at the server that left: " + std::to_string(late));
  return late > 0 ? kBroken : kHeld;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return review::RunCase(aCount, aArguments, Run);
}
