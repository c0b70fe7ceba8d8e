// Tests of the peer mesh on loopback: delivery, order, restarted peers and
// silent connections.
#include "sapphirespar/wire/peer_link.hpp"

#include "peer_frame.hpp"

#include "sapphirespar/wire/peer_codec.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <thread>

namespace sapphirespar::wire {
namespace {

using namespace std::chrono_literals;

// Ends a test that would otherwise hang.
constexpr auto kTimeout = 20s;

struct received_message
{
  process_id mFrom;
  peer_message mMessage;
};

// One router, with the messages it received and the peers it found unreachable.
struct mesh_node
{
  std::unique_ptr<peer_mesh> mMesh;
  std::vector<received_message> mReceived;
  std::vector<vm_id> mUnreachable;
};

class peer_link_test : public testing::Test
{
protected:
  std::unique_ptr<mesh_node> Start(std::string aVm,
                                   incarnation_number aIncarnation = 1)
  {
    auto node = std::make_unique<mesh_node>();
    peer_mesh_settings settings = mSettings;
    settings.mSelf = { { aVm }, aIncarnation };
    peer_mesh_hooks hooks;
    hooks.mLookUp = [this](const vm_id& aTo) -> std::optional<endpoint> {
      const auto found = mPorts.find(aTo);
      if (found == mPorts.end()) {
        return std::nullopt;
      }
      return endpoint{ "127.0.0.1", found->second };
    };
    hooks.mReceive = [raw = node.get()](const process_id& aFrom,
                                        peer_message aMessage) {
      raw->mReceived.push_back({ aFrom, std::move(aMessage) });
    };
    hooks.mUnreachable = [raw = node.get()](const vm_id& aTo) {
      raw->mUnreachable.push_back(aTo);
    };
    node->mMesh = std::make_unique<peer_mesh>(mContext, settings, hooks);
    mPorts[{ aVm }] = node->mMesh->Port();
    return node;
  }

  // Runs the context until aDone returns true; fails the test after kTimeout.
  template<class Predicate>
  void RunUntil(Predicate aDone)
  {
    const auto limit = std::chrono::steady_clock::now() + kTimeout;
    while (!aDone()) {
      ASSERT_LT(std::chrono::steady_clock::now(), limit)
        << "timed out waiting for the condition";
      mContext.run_one_for(100ms);
      mContext.restart();
    }
  }

  // Accepts connections as aVm and answers hellos, but sends nothing else.
  asio::awaitable<void> ServeSilently(std::string aVm)
  {
    while (true) {
      auto socket = co_await mSilentAcceptor.async_accept(asio::use_awaitable);
      auto accepted =
        co_await AcceptStream(std::move(socket), nullptr, kTimeout);
      mSilentStreams.push_back(std::move(accepted).value());
      auto& stream = *mSilentStreams.back();
      frame_reader reader(stream, kMaxFrameBytes);
      co_await reader.Next(kTimeout);
      const process_id self{ { aVm }, 1 };
      const auto hello = EncodeFrame(frame_kind::Hello, EncodeHello(self));
      co_await stream.Write(hello, kTimeout);
    }
  }

  asio::io_context mContext;
  peer_mesh_settings mSettings;
  std::map<vm_id, std::uint16_t> mPorts;
  asio::ip::tcp::acceptor mSilentAcceptor{
    mContext,
    { asio::ip::make_address("127.0.0.1"), 0 }
  };
  std::vector<byte_stream_ptr> mSilentStreams;
};

outcome_query
NumberedMessage(int aNumber)
{
  return { std::to_string(aNumber), {} };
}

TEST_F(peer_link_test, MessagesArriveInOrderAndNameTheirSender)
{
  const auto one = Start("one");
  const auto two = Start("two", 5);
  constexpr int kMessages = 500;
  for (int number = 0; number < kMessages; ++number) {
    two->mMesh->Send({ "one" }, NumberedMessage(number));
  }
  RunUntil([&] { return one->mReceived.size() == kMessages; });
  for (int number = 0; number < kMessages; ++number) {
    const auto& message = one->mReceived[number];
    EXPECT_EQ(message.mFrom, (process_id{ { "two" }, 5 }));
    EXPECT_EQ(std::get<outcome_query>(message.mMessage).mKey,
              std::to_string(number));
  }
  EXPECT_EQ(two->mMesh->Traffic().mMessagesOut, kMessages);
  EXPECT_EQ(two->mMesh->Traffic().mConnects, 1U);
  EXPECT_GT(one->mMesh->Traffic().mBytesIn, kMessages);
}

TEST_F(peer_link_test, MessageToSelfAndPostFromAnotherThreadArrive)
{
  const auto one = Start("one");
  const auto two = Start("two");
  one->mMesh->Send({ "one" }, NumberedMessage(1));
  EXPECT_TRUE(one->mReceived.empty());
  std::thread([&] { two->mMesh->Post({ "one" }, NumberedMessage(2)); }).join();
  RunUntil([&] { return one->mReceived.size() == 2; });
  EXPECT_EQ(one->mReceived[0].mFrom.mVm.mText, "one");
  EXPECT_EQ(one->mReceived[1].mFrom.mVm.mText, "two");
}

TEST_F(peer_link_test, AnUnknownPeerIsReportedAsUnreachable)
{
  const auto one = Start("one");
  one->mMesh->Send({ "nobody" }, NumberedMessage(1));
  RunUntil([&] { return !one->mUnreachable.empty(); });
  EXPECT_EQ(one->mUnreachable[0].mText, "nobody");
  EXPECT_EQ(one->mMesh->Traffic().mMessagesDropped, 1U);
}

TEST_F(peer_link_test,
       Fault_CrashAfter_Member_Hear_ARestartedPeerIsDialledAfresh)
{
  const auto one = Start("one");
  auto two = Start("two", 1);
  one->mMesh->Send({ "two" }, NumberedMessage(1));
  RunUntil([&] { return two->mReceived.size() == 1; });
  two.reset();
  two = Start("two", 2);
  // A message may be lost with the old connection, so the test repeats it until
  // one arrives.
  RunUntil([&] {
    one->mMesh->Send({ "two" }, NumberedMessage(2));
    return !two->mReceived.empty();
  });
  EXPECT_EQ(std::get<outcome_query>(two->mReceived[0].mMessage).mKey, "2");
}

TEST_F(peer_link_test, AVmAtAnotherVmsAddressIsUnreachable)
{
  const auto one = Start("one");
  const auto two = Start("two");
  mPorts[{ "three" }] = mPorts[{ "two" }];
  one->mMesh->Send({ "three" }, NumberedMessage(1));
  RunUntil([&] { return !one->mUnreachable.empty(); });
  EXPECT_EQ(one->mUnreachable[0].mText, "three");
  EXPECT_TRUE(two->mReceived.empty());
}

TEST_F(
  peer_link_test,
  Fault_SilentInbound_Member_Hear_TheConnectionIsReplacedBeforeThePeerIsBlamed)
{
  mSettings.mPingPeriod = 20ms;
  mSettings.mPongTimeout = 50ms;
  const auto one = Start("one");
  mPorts[{ "mute" }] = mSilentAcceptor.local_endpoint().port();
  asio::co_spawn(mContext, ServeSilently("mute"), [](std::exception_ptr) {});
  one->mMesh->Send({ "mute" }, NumberedMessage(1));
  RunUntil([&] { return one->mMesh->Traffic().mSilentConnections == 1; });
  one->mMesh->Send({ "mute" }, NumberedMessage(2));
  RunUntil([&] { return mSilentStreams.size() == 2; });
  EXPECT_EQ(one->mMesh->Traffic().mConnects, 2U);
  EXPECT_TRUE(one->mUnreachable.empty());
}

TEST_F(peer_link_test, IdleConnectionIsClosedAndDialledAgainWhenNeeded)
{
  mSettings.mIdleLimit = 30ms;
  const auto one = Start("one");
  const auto two = Start("two");
  one->mMesh->Send({ "two" }, NumberedMessage(1));
  RunUntil([&] { return two->mReceived.size() == 1; });
  asio::steady_timer pause(mContext, 10 * mSettings.mIdleLimit);
  bool pauseEnded = false;
  pause.async_wait([&](auto) { pauseEnded = true; });
  RunUntil([&] { return pauseEnded; });
  one->mMesh->Send({ "two" }, NumberedMessage(2));
  RunUntil([&] { return two->mReceived.size() == 2; });
  EXPECT_GE(one->mMesh->Traffic().mConnects, 2U);
}

TEST_F(peer_link_test, QueueIsBounded)
{
  mSettings.mQueueLimitBytes = 100;
  const auto one = Start("one");
  const auto two = Start("two");
  constexpr int kMessages = 50;
  for (int number = 0; number < kMessages; ++number) {
    one->mMesh->Send({ "two" }, NumberedMessage(number));
  }
  const auto dropped = one->mMesh->Traffic().mMessagesDropped;
  EXPECT_GT(dropped, 0U);
  RunUntil([&] { return two->mReceived.size() == kMessages - dropped; });
}

} // namespace
} // namespace sapphirespar::wire
