// The commands for signing keys, for bundles, and for the models of engines
// that the bundle in force declares.
#include "commands.hpp"

#include "sapphirespar/config/bundle_controller.hpp"
#include "sapphirespar/config/bundle_delta.hpp"
#include "sapphirespar/config/bundle_file.hpp"
#include "sapphirespar/config/settings.hpp"
#include "sapphirespar/config/signed_bundle.hpp"
#include "sapphirespar/config/signing.hpp"
#include "sapphirespar/config/toml_reader.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace sapphirespar::cli {
namespace {

// Failure of a command and the exit code for it.
struct command_failure
{
  exit_code mCode = exit_code::Failed;
  std::string mProblem;
};

auto
Fail(exit_code aCode, std::string aProblem)
{
  return leaf::new_error(command_failure{ aCode, std::move(aProblem) });
}

// Runs aCommand; on failure prints one line and returns the exit code for it.
template<class Command>
exit_code
RunCommand(ctl_streams aStreams, const Command& aCommand)
{
  const auto printError = [&](exit_code aCode, const std::string& aProblem) {
    aStreams.mError << "sapphirespar-ctl: " << aProblem << '\n';
    return aCode;
  };
  return leaf::try_handle_all(
    [&]() -> result<exit_code> { return aCommand(); },
    [&](const command_failure& aFailure) {
      return printError(aFailure.mCode, aFailure.mProblem);
    },
    [&](const config_failure& aFailure) {
      return printError(exit_code::Refused, Describe(aFailure));
    },
    [&](const signature_failure& aFailure) {
      return printError(exit_code::Refused, aFailure.mProblem);
    },
    [&] { return printError(exit_code::Failed, "unknown failure"); });
}

std::string
VersionText(const bundle_version& aVersion)
{
  return std::to_string(aVersion.mEpoch) + "." +
         std::to_string(aVersion.mNumber);
}

// Writes aText to a file; only the owner may read and write a private file.
result<void>
WriteFile(const std::string& aPath, const std::string& aText, bool aPrivate)
{
  namespace fs = std::filesystem;
  std::ofstream file(aPath, std::ios::binary | std::ios::trunc);
  std::error_code error;
  if (aPrivate) {
    fs::permissions(
      aPath, fs::perms::owner_read | fs::perms::owner_write, error);
  }
  file << aText;
  file.close();
  if (!file || error) {
    return Fail(exit_code::Failed, aPath + ": cannot be written");
  }
  return {};
}

result<std::string>
ReadKey(const std::string& aPath)
{
  BOOST_LEAF_AUTO(text, ReadTextFile(aPath));
  const auto end = text.find_last_not_of(" \r\n");
  text.resize(end == std::string::npos ? 0 : end + 1);
  if (!PublicKeyOf(text)) {
    return Fail(exit_code::Refused,
                aPath + ": expected a private key of 64 hexadecimal digits");
  }
  return text;
}

// Reads the bundle in force; returns nothing if there is none.
result<std::optional<signed_bundle>>
ReadCurrent(const connection_options& aOptions)
{
  const auto current = FetchObject(aOptions, CurrentBundleKey());
  if (!current) {
    return Fail(exit_code::Failed, current.error().mProblem);
  }
  if (current.value().mStatus == platform_status::NotFound) {
    return std::optional<signed_bundle>();
  }
  BOOST_LEAF_AUTO(parsed, ParseSignedBundle(current.value().mObject.mValue));
  if (parsed.mBytes.empty()) {
    const auto full =
      FetchObject(aOptions, FullBundleKey(parsed.mFullBundleName));
    if (!full) {
      return Fail(exit_code::Failed, full.error().mProblem);
    }
    BOOST_LEAF_CHECK(FillFromFullBundle(parsed, full.value().mObject.mValue));
  }
  return std::optional(std::move(parsed));
}

result<signed_bundle>
RequireCurrent(const connection_options& aOptions)
{
  BOOST_LEAF_AUTO(current, ReadCurrent(aOptions));
  if (!current) {
    return Fail(exit_code::Failed, "no bundle is in force at the platform");
  }
  return std::move(*current);
}

// Reads the predecessor of a new bundle; returns nothing with --first.
result<std::optional<signed_bundle>>
ReadBase(const ctl_options& aOptions)
{
  if (aOptions.mFirst) {
    return std::optional<signed_bundle>();
  }
  if (aOptions.mBaseFile.empty()) {
    BOOST_LEAF_AUTO(current, RequireCurrent(aOptions.mConnection));
    return std::optional(std::move(current));
  }
  BOOST_LEAF_AUTO(text, ReadTextFile(aOptions.mBaseFile));
  BOOST_LEAF_AUTO(parsed, ParseSignedBundle(text));
  return std::optional(std::move(parsed));
}

// Sets aNext to the version that follows aBase.
result<void>
SetVersion(bundle& aNext, const std::optional<signed_bundle>& aBase)
{
  const auto base = aBase ? aBase->mBundle.mVersion : bundle_version{};
  if (aNext.mVersion.mEpoch < base.mEpoch) {
    return Fail(exit_code::Refused,
                "epoch " + std::to_string(aNext.mVersion.mEpoch) +
                  " is older than that of version " + VersionText(base));
  }
  const bool newEpoch = aNext.mVersion.mEpoch > base.mEpoch;
  aNext.mVersion.mNumber = newEpoch ? 1 : base.mNumber + 1;
  return {};
}

// Reads a bundle from TOML, from a signed file or from the platform.
result<bundle>
ReadAnyBundle(const std::string& aName, const connection_options& aOptions)
{
  if (aName == "current") {
    if (aOptions.mPlatform.empty()) {
      return Fail(exit_code::Usage, "\"current\" needs --platform");
    }
    BOOST_LEAF_AUTO(current, RequireCurrent(aOptions));
    return std::move(current.mBundle);
  }
  BOOST_LEAF_AUTO(text, ReadTextFile(aName));
  if (!text.starts_with('{')) {
    return ParseBundle(text, aName);
  }
  BOOST_LEAF_AUTO(parsed, ParseSignedBundle(text));
  return std::move(parsed.mBundle);
}

exit_code
ExitCodeOf(acceptance_status aStatus)
{
  switch (aStatus) {
    case acceptance_status::Accepted:
    case acceptance_status::AlreadyAccepted:
      return exit_code::Ok;
    case acceptance_status::VersionConflict:
    case acceptance_status::Refused:
      return exit_code::Refused;
    case acceptance_status::NotWritten:
    case acceptance_status::Unknown:
      break;
  }
  return exit_code::Failed;
}

// Returns an engine that the bundle in force declares.
result<upstream_spec>
RequireEngine(const ctl_options& aOptions)
{
  BOOST_LEAF_AUTO(current, RequireCurrent(aOptions.mConnection));
  const auto* const spec =
    FindUpstream(current.mBundle, { aOptions.mUpstream });
  if (spec == nullptr || spec->mKind != upstream_kind::Engine) {
    return Fail(exit_code::Refused,
                "the bundle in force declares no engine \"" +
                  aOptions.mUpstream + "\"");
  }
  return *spec;
}

exit_code
OrderModel(const ctl_options& aOptions,
           ctl_streams aStreams,
           upstream::order_kind aKind)
{
  return RunCommand(aStreams, [&]() -> result<exit_code> {
    BOOST_LEAF_AUTO(engine, RequireEngine(aOptions));
    const upstream::engine_order order{ aKind, { aOptions.mModel } };
    const auto outcome = RunOrder(aOptions.mConnection, engine, order);
    if (!outcome) {
      return Fail(exit_code::Failed, outcome.error().mProblem);
    }
    const auto done = outcome.value() == upstream::order_outcome::Done;
    auto& stream = done ? aStreams.mOut : aStreams.mError;
    stream << upstream::ToText(aKind) << ' ' << aOptions.mModel << " at "
           << aOptions.mUpstream << ": " << upstream::ToText(outcome.value())
           << '\n';
    return done ? exit_code::Ok : exit_code::Failed;
  });
}

} // namespace

exit_code
NewKey(const ctl_options& aOptions, ctl_streams aStreams)
{
  return RunCommand(aStreams, [&]() -> result<exit_code> {
    if (std::filesystem::exists(aOptions.mOut)) {
      return Fail(exit_code::Refused, aOptions.mOut + ": already exists");
    }
    const auto key = NewSigningKey();
    constexpr bool kPrivate = true;
    BOOST_LEAF_CHECK(
      WriteFile(aOptions.mOut, key.mPrivateKey + "\n", kPrivate));
    aStreams.mOut << key.mPublicKey << '\n';
    return exit_code::Ok;
  });
}

exit_code
CheckBundle(const ctl_options& aOptions, ctl_streams aStreams)
{
  return RunCommand(aStreams, [&]() -> result<exit_code> {
    BOOST_LEAF_AUTO(loaded, LoadBundle(aOptions.mFile));
    aStreams.mOut << aOptions.mFile << ": valid: " << loaded.mClasses.size()
                  << " classes, " << loaded.mAccounts.size() << " accounts, "
                  << loaded.mModels.size() << " models, "
                  << loaded.mUpstreams.size() << " upstreams, "
                  << loaded.mSigners.size() << " signers\n";
    return exit_code::Ok;
  });
}

exit_code
SignBundleFile(const ctl_options& aOptions, ctl_streams aStreams)
{
  return RunCommand(aStreams, [&]() -> result<exit_code> {
    BOOST_LEAF_AUTO(next, LoadBundle(aOptions.mFile));
    BOOST_LEAF_AUTO(key, ReadKey(aOptions.mKeyFile));
    BOOST_LEAF_AUTO(base, ReadBase(aOptions));
    BOOST_LEAF_CHECK(SetVersion(next, base));
    BOOST_LEAF_AUTO(
      signedBundle,
      SignBundle(next, aOptions.mSigner, key, base ? &*base : nullptr));
    const auto& signers = base ? base->mBundle.mSigners : next.mSigners;
    BOOST_LEAF_CHECK(
      CheckSignature(signedBundle, signers, signedBundle.mBundle.mVersion));
    signedBundle.mHistory.clear();
    constexpr bool kPrivate = false;
    BOOST_LEAF_CHECK(
      WriteFile(aOptions.mOut, Serialize(signedBundle) + "\n", kPrivate));
    aStreams.mOut << "signed version " << VersionText(next.mVersion) << " as "
                  << aOptions.mSigner << '\n';
    return exit_code::Ok;
  });
}

exit_code
AcceptBundle(const ctl_options& aOptions, ctl_streams aStreams)
{
  return RunCommand(aStreams, [&]() -> result<exit_code> {
    BOOST_LEAF_AUTO(text, ReadTextFile(aOptions.mFile));
    acceptance_settings settings;
    if (!aOptions.mSettingsFile.empty()) {
      BOOST_LEAF_AUTO(router, LoadSettings(aOptions.mSettingsFile));
      settings.mTrusted = router.mSigners;
    }
    const auto acceptanceResult =
      RunAcceptance(aOptions.mConnection, settings, text);
    if (!acceptanceResult) {
      return Fail(exit_code::Failed, acceptanceResult.error().mProblem);
    }
    const auto& acceptance = acceptanceResult.value();
    const auto code = ExitCodeOf(acceptance.mStatus);
    auto& stream = code == exit_code::Ok ? aStreams.mOut : aStreams.mError;
    stream << ToText(acceptance.mStatus) << ": " << acceptance.mDetail << '\n';
    return code;
  });
}

exit_code
DiffBundles(const ctl_options& aOptions, ctl_streams aStreams)
{
  return RunCommand(aStreams, [&]() -> result<exit_code> {
    const auto& connection = aOptions.mConnection;
    BOOST_LEAF_AUTO(before, ReadAnyBundle(aOptions.mFile, connection));
    BOOST_LEAF_AUTO(after, ReadAnyBundle(aOptions.mOtherFile, connection));
    for (const auto& change : Diff(before, after)) {
      aStreams.mOut << change.mSection << ' ' << change.mId << '\n';
      if (!change.mBefore.empty()) {
        aStreams.mOut << "  - " << change.mBefore << '\n';
      }
      if (!change.mAfter.empty()) {
        aStreams.mOut << "  + " << change.mAfter << '\n';
      }
    }
    return exit_code::Ok;
  });
}

exit_code
ShowHistory(const ctl_options& aOptions, ctl_streams aStreams)
{
  return RunCommand(aStreams, [&]() -> result<exit_code> {
    BOOST_LEAF_AUTO(current, RequireCurrent(aOptions.mConnection));
    boost::json::array list;
    for (const auto& entry : current.mHistory) {
      if (aOptions.mJson) {
        list.push_back(
          boost::json::object{ { "version", VersionText(entry.mVersion) },
                               { "signer", entry.mSigner },
                               { "digest", entry.mDigest },
                               { "accepted_at", entry.mAcceptedAt } });
      } else {
        aStreams.mOut << VersionText(entry.mVersion) << "  "
                      << entry.mAcceptedAt << "  " << entry.mSigner << "  "
                      << entry.mDigest << '\n';
      }
    }
    if (aOptions.mJson) {
      aStreams.mOut << boost::json::serialize(list) << '\n';
    }
    return exit_code::Ok;
  });
}

exit_code
LoadModel(const ctl_options& aOptions, ctl_streams aStreams)
{
  return OrderModel(aOptions, aStreams, upstream::order_kind::LoadModel);
}

exit_code
UnloadModel(const ctl_options& aOptions, ctl_streams aStreams)
{
  return OrderModel(aOptions, aStreams, upstream::order_kind::UnloadModel);
}

} // namespace sapphirespar::cli
