// Tests of bytes that faulty upstreams send beside or in place of an answer:
// nothing in them is taken for the answer to a request.
#include "raw_upstream_test.hpp"

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

std::string
Answer(const std::string& aStatus,
       const std::string& aHeaders,
       const std::string& aBody = "body")
{
  return "HTTP/1.1 " + aStatus + " X\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

const std::string kOwn = "Id: r1\r\nSigned: yes\r\n";
const std::string kWhole = Answer("200", kOwn);

class forward_spoilt_answer_test : public forward_fixture
{
protected:
  // Adds an upstream that answers the first request of each connection with
  // aFirst and each later one with aNext.
  void AddSpoiltUpstream(std::string aFirst, std::string aNext)
  {
    mEntries.clear();
    mArrivals = 0;
    const auto script =
      [this, first = std::move(aFirst), next = std::move(aNext)](
        asio::ip::tcp::socket aSocket) {
        return Serve(mArrivals, std::move(aSocket), first, next);
      };
    AddEntry("u" + std::to_string(++mNumber),
             ServeConnections(mContext, script));
  }

  static asio::awaitable<void> Serve(unsigned& aArrivals,
                                     asio::ip::tcp::socket aSocket,
                                     std::string aFirst,
                                     std::string aNext)
  {
    bool first = true;
    while (!(co_await ReadRequestHead(aSocket)).empty()) {
      ++aArrivals;
      co_await WriteBytes(aSocket, first ? aFirst : aNext);
      first = false;
    }
  }

  // The answer to the second request on a connection.
  wire::http_response AnswerOnKeptConnection(const std::string& aBytes,
                                             const std::string& aPath)
  {
    AddSpoiltUpstream(kWhole, aBytes);
    EXPECT_EQ(SendRequest("/once/first").mStatus, 200U);
    return SendRequest(aPath);
  }

  unsigned mArrivals = 0;
  unsigned mNumber = 0;
};

TEST_F(forward_spoilt_answer_test, AnAnswerWithoutAnIdIsNotTakenForTheNextOne)
{
  Publish();
  for (const std::string status :
       { "200", "400", "404", "421", "429", "500", "503" }) {
    for (const std::string more : { "", "Not-Run: 1\r\n", "Signed: yes\r\n" }) {
      SCOPED_TRACE(status + " " + more);
      const auto answer = AnswerOnKeptConnection(
        Answer(status, more, "extra") + kWhole, "/once/x");
      EXPECT_EQ(answer.mStatus, 200U);
      EXPECT_EQ(answer.mBody, "body");
      EXPECT_EQ(mArrivals, 2U);
    }
  }
}

TEST_F(forward_spoilt_answer_test, NothingIsPromisedIfOnlySuchAnAnswerComes)
{
  Publish();
  for (const std::string status : { "400", "421", "429", "503" }) {
    SCOPED_TRACE(status);
    // Each request is another one, as the same one is refused after three.
    const auto answer = AnswerOnKeptConnection(
      Answer(status, "Not-Run: 1\r\nConnection: close\r\n"), "/once/" + status);
    EXPECT_EQ(answer.mStatus, 502U);
    EXPECT_EQ(mArrivals, 2U);
  }
}

TEST_F(forward_spoilt_answer_test, WhatAnExtraAnswerStatesIsNotBelieved)
{
  Publish();
  for (const std::string id : { "", "Id: r0\r\n" }) {
    for (const std::string stated :
         { "Leaving: 1\r\n", "Come-Back: 60000\r\n", "Rate: 0\r\n" }) {
      SCOPED_TRACE(id + stated);
      const auto extra = Answer("503", id + stated + "Not-Run: 1\r\n", "extra");
      EXPECT_EQ(AnswerOnKeptConnection(extra + kWhole, "/once/x").mStatus,
                200U);
      EXPECT_EQ(SendRequest("/once/x").mStatus, 200U);
    }
  }
}

TEST_F(forward_spoilt_answer_test, TwoIdsMakeAnAnswerUnusable)
{
  Publish();
  for (const std::string ids :
       { "Id: r1\r\nId: r0\r\n", "Id: r0\r\nId: r1\r\n" }) {
    AddSpoiltUpstream(Answer("200", ids + "Signed: yes\r\n"), kWhole);
    EXPECT_EQ(SendRequest("/once/x").mStatus, 502U);
  }
}

TEST_F(forward_spoilt_answer_test, AStatusThatEndsNoExchangeIsNoAnswer)
{
  Publish();
  for (const std::string status :
       { "000", "099", "100", "101", "102", "199", "600", "999" }) {
    SCOPED_TRACE(status);
    // Each request is another one, as the same one is refused after three.
    AddSpoiltUpstream(Answer(status, kOwn), kWhole);
    EXPECT_EQ(SendRequest("/once/" + status).mStatus, 502U);
    EXPECT_EQ(mArrivals, 1U);
    // One that may run twice is not sent there again at once.
    AddSpoiltUpstream(Answer(status, kOwn), kWhole);
    EXPECT_EQ(SendRequest("/safe/" + status).mStatus, 502U);
  }
}

TEST_F(forward_spoilt_answer_test, InterimHeadsAreSkipped)
{
  Publish();
  for (const std::string status : { "100", "102", "103", "199" }) {
    SCOPED_TRACE(status);
    AddSpoiltUpstream("HTTP/1.1 " + status + " X\r\nA: b\r\n\r\n" + kWhole, "");
    const auto answer = SendRequest("/once/x");
    EXPECT_EQ(answer.mStatus, 200U);
    EXPECT_EQ(answer.mBody, "body");
  }
}

} // namespace
} // namespace sapphirespar::gateway
