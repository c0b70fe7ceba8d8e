// The commands of sapphirespar-ctl and their options.
#pragma once

#include "connection.hpp"
#include "sapphirespar/cli/ctl.hpp"

#include <ostream>
#include <string>

namespace sapphirespar::cli {

struct ctl_options
{
  connection_options mConnection;
  std::string mFile;
  std::string mOtherFile;
  std::string mOut;
  std::string mKeyFile;
  std::string mSigner;
  std::string mBaseFile;
  std::string mSettingsFile;
  std::string mRequest;
  std::string mClass;
  std::string mUpstream;
  std::string mModel;
  // Ends a drain instead of starting one.
  bool mEnd = false;
  // Signs the first bundle, which has no predecessor.
  bool mFirst = false;
  bool mJson = false;
};

struct ctl_streams
{
  std::ostream& mOut;
  std::ostream& mError;
};

exit_code NewKey(const ctl_options& aOptions, ctl_streams aStreams);
exit_code CheckBundle(const ctl_options& aOptions, ctl_streams aStreams);
exit_code SignBundleFile(const ctl_options& aOptions, ctl_streams aStreams);
exit_code AcceptBundle(const ctl_options& aOptions, ctl_streams aStreams);
exit_code DiffBundles(const ctl_options& aOptions, ctl_streams aStreams);
exit_code ShowHistory(const ctl_options& aOptions, ctl_streams aStreams);
exit_code LoadModel(const ctl_options& aOptions, ctl_streams aStreams);
exit_code UnloadModel(const ctl_options& aOptions, ctl_streams aStreams);
exit_code Drain(const ctl_options& aOptions, ctl_streams aStreams);
exit_code ShowStatus(const ctl_options& aOptions, ctl_streams aStreams);
exit_code Explain(const ctl_options& aOptions, ctl_streams aStreams);

} // namespace sapphirespar::cli
