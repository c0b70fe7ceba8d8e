// The command line of sapphirespar-ctl.
#include "sapphirespar/cli/ctl.hpp"

#include "commands.hpp"

#include <CLI/CLI.hpp>

#include <functional>

namespace sapphirespar::cli {
namespace {

using command = exit_code (*)(const ctl_options&, ctl_streams);

// Parses the command line into options and the chosen command.
struct ctl_parser
{
  CLI::App mApp{ "Manages signing keys, bundles, drains and models, and shows "
                 "router status.",
                 "sapphirespar-ctl" };
  ctl_options mOptions;
  command mChosen = nullptr;

  CLI::App* Add(CLI::App* aParent,
                const std::string& aName,
                const std::string& aHelp,
                command aCommand)
  {
    auto* added = aParent->add_subcommand(aName, aHelp);
    added->callback([this, aCommand] { mChosen = aCommand; });
    return added;
  }

  void AddTls(CLI::App* aCommand)
  {
    auto& tls = mOptions.mConnection.mTls;
    aCommand->add_option("--tls-ca",
                         tls.mAuthorities,
                         "use TLS; file of trusted certificate authorities");
    aCommand->add_option("--tls-certificate", tls.mCertificate);
    aCommand->add_option("--tls-key", tls.mKey);
  }

  CLI::Option* AddPlatform(CLI::App* aCommand)
  {
    AddTls(aCommand);
    return aCommand->add_option("--platform",
                                mOptions.mConnection.mPlatform,
                                "ADDRESS:PORT of the platform");
  }

  CLI::Option* AddRouter(CLI::App* aCommand)
  {
    AddTls(aCommand);
    return aCommand->add_option(
      "--router", mOptions.mConnection.mRouter, "ADDRESS:PORT of any router");
  }
};

void
AddKeyCommands(ctl_parser& aParser)
{
  auto* key = aParser.mApp.add_subcommand("key", "Signing keys");
  key->require_subcommand(1);
  auto* make = aParser.Add(
    key,
    "new",
    "Create a key pair: write the private key to a file, print the public key",
    NewKey);
  make->add_option("--out", aParser.mOptions.mOut, "private key file to write")
    ->required();
}

void
AddSign(ctl_parser& aParser, CLI::App* aBundle)
{
  auto& options = aParser.mOptions;
  auto* sign = aParser.Add(
    aBundle, "sign", "Check a TOML bundle and sign it", SignBundleFile);
  sign->add_option("file", options.mFile, "bundle in TOML")->required();
  sign->add_option("--key", options.mKeyFile, "private key file")->required();
  sign->add_option("--signer", options.mSigner, "name of the signer")
    ->required();
  sign->add_option("--out", options.mOut, "file to write")->required();
  auto* base = sign->add_option_group("base", "predecessor of the new bundle");
  base->add_option("--base", options.mBaseFile, "signed bundle file");
  base->add_flag("--first", options.mFirst, "no predecessor");
  aParser.AddPlatform(base);
  base->require_option(1, 4);
}

void
AddBundleCommands(ctl_parser& aParser)
{
  auto& options = aParser.mOptions;
  auto* bundle = aParser.mApp.add_subcommand("bundle", "Bundles");
  bundle->require_subcommand(1);
  auto* check =
    aParser.Add(bundle, "check", "Check a bundle in TOML", CheckBundle);
  check->add_option("file", options.mFile, "bundle in TOML")->required();
  AddSign(aParser, bundle);
  auto* accept = aParser.Add(
    bundle, "accept", "Put a signed bundle into force", AcceptBundle);
  accept->add_option("file", options.mFile, "signed bundle")->required();
  accept->add_option("--settings",
                     options.mSettingsFile,
                     "router settings whose signers are trusted while no "
                     "bundle is in force");
  aParser.AddPlatform(accept)->required();
  auto* diff = aParser.Add(
    bundle, "diff", "Show what differs between two bundles", DiffBundles);
  diff->add_option("before", options.mFile, "TOML or signed, or \"current\"")
    ->required();
  diff
    ->add_option("after", options.mOtherFile, "TOML or signed, or \"current\"")
    ->required();
  aParser.AddPlatform(diff);
  auto* history =
    aParser.Add(bundle, "history", "List accepted versions", ShowHistory);
  history->add_flag("--json", options.mJson);
  aParser.AddPlatform(history)->required();
}

void
AddUpstreamCommands(ctl_parser& aParser)
{
  auto& options = aParser.mOptions;
  auto* drain = aParser.Add(
    &aParser.mApp, "drain", "Stop sending new work to an upstream", Drain);
  drain->add_option("upstream", options.mUpstream, "id in the bundle")
    ->required();
  drain->add_flag("--end", options.mEnd, "end the drain");
  aParser.AddPlatform(drain)->required();
}

void
AddModelCommands(ctl_parser& aParser)
{
  auto* model = aParser.mApp.add_subcommand("model", "Models at engines");
  model->require_subcommand(1);
  const auto add =
    [&](const std::string& aName, const std::string& aHelp, command aCommand) {
      auto* order = aParser.Add(model, aName, aHelp, aCommand);
      order->add_option("model", aParser.mOptions.mModel, "name of the model")
        ->required();
      order
        ->add_option("upstream", aParser.mOptions.mUpstream, "id in the bundle")
        ->required();
      aParser.AddPlatform(order)->required();
    };
  add("load", "Load a model and wait until it is loaded", LoadModel);
  add("unload", "Unload a model and wait until it is unloaded", UnloadModel);
}

void
AddRouterCommands(ctl_parser& aParser)
{
  auto& options = aParser.mOptions;
  auto* status = aParser.Add(
    &aParser.mApp, "status", "Show the status of a router", ShowStatus);
  status->add_flag(
    "--json", options.mJson, "print the router's JSON unchanged");
  aParser.AddRouter(status)->required();
  auto* explain = aParser.Add(
    &aParser.mApp, "explain", "Show how a router handled requests", Explain);
  auto* which = explain->add_option_group("which");
  which->add_option("request", options.mRequest, "X-Request-Id");
  which->add_option("--class", options.mClass, "newest requests of this class");
  which->require_option(1);
  aParser.AddRouter(explain)->required();
}

} // namespace

exit_code
RunCtl(int aCount,
       const char* const* aArguments,
       std::ostream& aOut,
       std::ostream& aError)
{
  ctl_parser parser;
  parser.mApp.set_version_flag("--version", SAPPHIRESPAR_VERSION);
  parser.mApp.require_subcommand(1);
  AddKeyCommands(parser);
  AddBundleCommands(parser);
  AddUpstreamCommands(parser);
  AddModelCommands(parser);
  AddRouterCommands(parser);
  try {
    parser.mApp.parse(aCount, aArguments);
  } catch (const CLI::ParseError& error) {
    // CLI11 also throws for --help and --version, with exit code zero.
    return parser.mApp.exit(error, aOut, aError) == 0 ? exit_code::Ok
                                                      : exit_code::Usage;
  }
  return parser.mChosen(parser.mOptions, { aOut, aError });
}

} // namespace sapphirespar::cli
