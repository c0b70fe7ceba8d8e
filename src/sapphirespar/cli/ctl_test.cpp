// Tests of sapphirespar-ctl: exit codes, messages and the files it writes.
// Commands that need the platform run against a fake object server over HTTP.
#include "sapphirespar/cli/ctl.hpp"

#include "sapphirespar/wire/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace sapphirespar::cli {
namespace {

namespace fs = std::filesystem;

// Serves one object with conditional updates, and the status page of a router,
// on a thread of its own.
class fake_object_server
{
public:
  fake_object_server()
    : mServer(mContext,
              std::array{ &mContext },
              wire::http_server_settings(),
              [this](const auto& aRequest, auto& aReply) {
                return Respond(aRequest, aReply);
              })
    , mThread([this] { mContext.run(); })
  {
  }

  ~fake_object_server()
  {
    mContext.stop();
    mThread.join();
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mServer.Port());
  }

  // Empty if there is no object.
  const std::string& Value() const { return mValue; }

private:
  wire::asio::awaitable<void> Respond(const wire::http_request& aRequest,
                                      wire::http_reply& aReply)
  {
    wire::http_response response;
    if (aRequest.mTarget == "/v1/status") {
      response.mBody = R"({"vm":"vm-1","bundle":{"epoch":1,"number":4},
        "members":[{"vm":"vm-2","state":"live"}]})";
    } else if (!IsObject(wire::SplitTarget(aRequest.mTarget).mPath)) {
      response.mStatus = 404;
    } else if (aRequest.mMethod == "GET") {
      SetName(aRequest.mTarget);
      response.mStatus = mValue.empty() ? 404 : 200;
      response.mBody = Object();
    } else {
      SetName(aRequest.mTarget);
      const bool done = aRequest.mMethod == "DELETE" ? Delete(aRequest.mTarget)
                                                     : Write(aRequest.mBody);
      response.mStatus = done ? 200 : 409;
      response.mBody = Object();
    }
    co_await aReply.Send(std::move(response));
  }

  static bool IsObject(std::string_view aTarget)
  {
    constexpr std::array<std::string_view, 4> kTargets{
      "/objects/bundle",
      "/objects/bundle/current",
      "/objects/drain",
      "/objects/drain/engine-1"
    };
    return std::ranges::find(kTargets, aTarget) != kTargets.end();
  }

  // Answers name the object of their request.
  void SetName(std::string_view aTarget)
  {
    mName = aTarget.starts_with("/objects/bundle") ? "current" : "engine-1";
  }

  // Stores the value if the request expects the current version.
  bool Write(std::string_view aBody)
  {
    const auto body = boost::json::parse(aBody);
    const auto& metadata = body.at("metadata").as_object();
    const auto* revision = metadata.if_contains("revision");
    const auto expected =
      revision == nullptr ? 0 : revision->to_number<std::uint64_t>();
    if (expected != (mValue.empty() ? 0 : mVersion)) {
      return false;
    }
    mValue = body.at("spec").as_string();
    ++mVersion;
    return true;
  }

  bool Delete(std::string_view aTarget)
  {
    const auto query = wire::SplitTarget(aTarget).mQuery;
    if (wire::QueryValue(query, "revision") != std::to_string(mVersion)) {
      return false;
    }
    mValue.clear();
    ++mVersion;
    return true;
  }

  std::string Object() const
  {
    boost::json::object object;
    object["metadata"] = { { "name", mName }, { "revision", mVersion } };
    object["spec"] = mValue;
    return boost::json::serialize(object);
  }

  boost::asio::io_context mContext;
  std::string mName;
  std::string mValue;
  std::uint64_t mVersion = 0;
  wire::http_server mServer;
  std::thread mThread;
};

class ctl_commands : public testing::Test
{
protected:
  ctl_commands()
  {
    std::string name = (fs::temp_directory_path() / "ctl_test_XXXXXX").string();
    mDirectory = mkdtemp(name.data());
  }
  ~ctl_commands() override { fs::remove_all(mDirectory); }

  std::string Path(const std::string& aName) const
  {
    return (mDirectory / aName).string();
  }

  exit_code Run(std::vector<std::string> aArguments)
  {
    std::vector<const char*> raw{ "sapphirespar-ctl" };
    for (const auto& argument : aArguments) {
      raw.push_back(argument.c_str());
    }
    mOut.str("");
    mError.str("");
    return RunCtl(static_cast<int>(raw.size()), raw.data(), mOut, mError);
  }

  void WriteBundle(const std::string& aName, unsigned aTier) const
  {
    std::ofstream(Path(aName))
      << "[[signers]]\nname = \"anna\"\npublic_key = \"" << mPublicKey
      << "\"\n[[classes]]\nid = \"price\"\n"
         "idempotent = true\ntier = "
      << aTier << "\n";
  }

  // Creates a key and a signed first bundle.
  void SignFirst()
  {
    Run({ "key", "new", "--out", Path("key") });
    mPublicKey = mOut.str();
    mPublicKey.pop_back();
    WriteBundle("b.toml", 2);
    EXPECT_EQ(Run({ "bundle",
                    "sign",
                    Path("b.toml"),
                    "--key",
                    Path("key"),
                    "--signer",
                    "anna",
                    "--first",
                    "--out",
                    Path("b1") }),
              exit_code::Ok)
      << mError.str();
  }

  exit_code SignNext(const std::string& aPlatform, const std::string& aOut)
  {
    return Run({ "bundle",
                 "sign",
                 Path("b.toml"),
                 "--key",
                 Path("key"),
                 "--signer",
                 "anna",
                 "--platform",
                 aPlatform,
                 "--out",
                 Path(aOut) });
  }

  exit_code Accept(const std::string& aPlatform, const std::string& aName)
  {
    return Run({ "bundle", "accept", Path(aName), "--platform", aPlatform });
  }

  fs::path mDirectory;
  std::string mPublicKey;
  std::ostringstream mOut;
  std::ostringstream mError;
};

TEST_F(ctl_commands, ExitCodesDistinguishUsageErrorsRefusalsAndFailures)
{
  EXPECT_EQ(Run({}), exit_code::Usage);
  EXPECT_EQ(Run({ "bundle", "frob" }), exit_code::Usage);
  EXPECT_EQ(Run({ "--help" }), exit_code::Ok);
  EXPECT_EQ(Run({ "--version" }), exit_code::Ok);
  EXPECT_EQ(Run({ "bundle", "check", Path("none.toml") }), exit_code::Refused);
  EXPECT_NE(mError.str().find("none.toml: cannot be opened"),
            std::string::npos);
  EXPECT_EQ(Run({ "status", "--router", "here" }), exit_code::Failed);
  EXPECT_NE(mError.str().find("expected ADDRESS:PORT"), std::string::npos);
}

TEST_F(ctl_commands, APrivateKeyIsReadableByItsOwnerOnlyAndNeverOverwritten)
{
  SignFirst();
  EXPECT_EQ(fs::status(Path("key")).permissions(),
            fs::perms::owner_read | fs::perms::owner_write);
  EXPECT_EQ(Run({ "key", "new", "--out", Path("key") }), exit_code::Refused);
}

TEST_F(ctl_commands, ABundleIsAcceptedOnceAndAConflictingOneIsRefused)
{
  fake_object_server platform;
  SignFirst();
  EXPECT_EQ(Accept(platform.Address(), "b1"), exit_code::Ok) << mError.str();
  EXPECT_EQ(mOut.str(), "accepted: written\n");
  EXPECT_EQ(SignNext(platform.Address(), "mine"), exit_code::Ok);
  EXPECT_EQ(mOut.str(), "signed version 1.2 as anna\n");
  WriteBundle("b.toml", 3);
  EXPECT_EQ(SignNext(platform.Address(), "theirs"), exit_code::Ok);
  EXPECT_EQ(Accept(platform.Address(), "mine"), exit_code::Ok);
  EXPECT_EQ(Accept(platform.Address(), "theirs"), exit_code::Refused);
  EXPECT_EQ(mError.str(),
            "overtaken: version 1.2, signed by anna, is in force; version 1.2 "
            "does not follow it\n");
  EXPECT_EQ(Run({ "bundle", "history", "--platform", platform.Address() }),
            exit_code::Ok);
  EXPECT_EQ(mOut.str().substr(0, 5), "1.1  ");
  EXPECT_EQ(Run({ "bundle",
                  "diff",
                  "current",
                  Path("b.toml"),
                  "--platform",
                  platform.Address() }),
            exit_code::Ok);
  EXPECT_EQ(mOut.str(),
            "classes price\n  - {\"id\":\"price\",\"tier\":2}\n"
            "  + {\"id\":\"price\"}\n");
}

TEST_F(ctl_commands, StatusIsATableOrTheRoutersOwnJson)
{
  fake_object_server router;
  EXPECT_EQ(Run({ "status", "--router", router.Address() }), exit_code::Ok);
  EXPECT_NE(mOut.str().find("bundle: 1.4"), std::string::npos);
  EXPECT_NE(mOut.str().find("vm-2  -"), std::string::npos);
  EXPECT_EQ(Run({ "status", "--json", "--router", router.Address() }),
            exit_code::Ok);
  EXPECT_EQ(mOut.str().front(), '{');
  EXPECT_EQ(Run({ "explain", "r1", "--router", router.Address() }),
            exit_code::Refused);
}

TEST_F(ctl_commands, StartsAndEndsTheDrainOfAnUpstream)
{
  fake_object_server server;
  const std::vector<std::string> drain{
    "drain", "engine-1", "--platform", server.Address()
  };
  EXPECT_EQ(Run(drain), exit_code::Ok) << mError.str();
  EXPECT_EQ(server.Value(), "{}");
  EXPECT_EQ(Run(drain), exit_code::Ok) << mError.str();
  auto end = drain;
  end.push_back("--end");
  EXPECT_EQ(Run(end), exit_code::Ok) << mError.str();
  EXPECT_EQ(server.Value(), "");
  EXPECT_EQ(Run(end), exit_code::Ok) << mError.str();
  EXPECT_EQ(Run({ "drain", "engine-1" }), exit_code::Usage);
}

TEST_F(ctl_commands, OrdersModelsOnlyFromDeclaredEngines)
{
  fake_object_server server;
  SignFirst();
  EXPECT_EQ(Run({ "model", "load", "m" }), exit_code::Usage);
  const std::vector<std::string> load{ "model",      "load",
                                       "m",          "engine-9",
                                       "--platform", server.Address() };
  EXPECT_EQ(Run(load), exit_code::Failed);
  EXPECT_NE(mError.str().find("no bundle is in force"), std::string::npos);
}

} // namespace
} // namespace sapphirespar::cli
