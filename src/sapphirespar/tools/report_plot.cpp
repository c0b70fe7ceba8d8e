// Draws a chart of attainment over time as SVG.
#include "sapphirespar/tools/report.hpp"

#include <array>
#include <iomanip>
#include <sstream>

namespace sapphirespar::tools {
namespace {

// Sizes and margins in pixels.
constexpr double kWidth = 900;
constexpr double kHeight = 360;
constexpr double kLeftMargin = 60;
constexpr double kRightMargin = 220;
constexpr double kTopMargin = 40;
constexpr double kBottomMargin = 40;
constexpr double kLineHeight = 20;
constexpr std::array<const char*, 6> kColours{
  "#1b6ca8", "#c1462f", "#3a7d44", "#8a5a9e", "#b5892b", "#555555"
};

double
X(const load_report& aReport, std::chrono::milliseconds aAt)
{
  const double duration = static_cast<double>(aReport.mDuration.count());
  const double share =
    duration > 0 ? static_cast<double>(aAt.count()) / duration : 0;
  return kLeftMargin + share * (kWidth - kLeftMargin - kRightMargin);
}

double
Y(double aShare)
{
  return kHeight - kBottomMargin -
         aShare * (kHeight - kTopMargin - kBottomMargin);
}

std::string
Escape(std::string_view aText)
{
  std::string escaped;
  for (const char letter : aText) {
    if (letter == '<') {
      escaped += "&lt;";
    } else if (letter == '&') {
      escaped += "&amp;";
    } else {
      escaped += letter;
    }
  }
  return escaped;
}

void
DrawText(std::ostream& aOut, double aX, double aY, std::string_view aText)
{
  aOut << "<text x=\"" << aX << "\" y=\"" << aY << "\">" << Escape(aText)
       << "</text>\n";
}

void
DrawGrid(std::ostream& aOut, const load_report& aReport)
{
  constexpr int kLines = 4;
  constexpr int kPercent = 100;
  constexpr double kTextShift = 4;
  for (int line = 0; line <= kLines; ++line) {
    const double share = static_cast<double>(line) / kLines;
    aOut << "<line x1=\"" << kLeftMargin << "\" x2=\"" << kWidth - kRightMargin
         << "\" y1=\"" << Y(share) << "\" y2=\"" << Y(share)
         << "\" stroke=\"#dddddd\"/>\n";
    DrawText(aOut,
             kTextShift,
             Y(share) + kTextShift,
             std::to_string(kPercent * line / kLines) + " %");
  }
  DrawText(aOut, kLeftMargin, kHeight - kTextShift * 2, "0 s");
  DrawText(aOut,
           kWidth - kRightMargin - kLineHeight,
           kHeight - kTextShift * 2,
           std::to_string(aReport.mDuration.count() / 1000) + " s");
}

void
DrawClassLine(std::ostream& aOut,
              const load_report& aReport,
              const std::string& aClass,
              std::string_view aColour)
{
  aOut << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << aColour
       << "\" points=\"";
  for (const auto& interval : aReport.mIntervals) {
    if (interval.mClass != aClass || interval.mOffered == 0) {
      continue;
    }
    const double share = static_cast<double>(interval.mInTime) /
                         static_cast<double>(interval.mOffered);
    aOut << X(aReport, interval.mFrom) << ',' << Y(share) << ' ';
  }
  aOut << "\"/>\n";
}

} // namespace

std::string
ToSvg(const load_report& aReport)
{
  std::ostringstream out;
  out << std::fixed << std::setprecision(1);
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth
      << "\" height=\"" << kHeight
      << "\" font-family=\"sans-serif\" font-size=\"13\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  DrawText(out,
           kLeftMargin,
           kTopMargin / 2,
           aReport.mName + ": answered in time, by time of arrival");
  DrawGrid(out, aReport);
  double y = kTopMargin;
  std::size_t colourIndex = 0;
  for (const auto& item : aReport.mClasses) {
    const auto* colour = kColours[colourIndex++ % kColours.size()];
    DrawClassLine(out, aReport, item.mClass, colour);
    const double x = kWidth - kRightMargin + kLineHeight;
    out << "<rect x=\"" << x << "\" y=\"" << y - kLineHeight / 2
        << "\" width=\"12\" height=\"4\" fill=\"" << colour << "\"/>\n";
    DrawText(out, x + kLineHeight, y, item.mClass);
    y += kLineHeight;
  }
  out << "</svg>\n";
  return out.str();
}

} // namespace sapphirespar::tools
