/// Room of workers for filling tasks beside their serving tasks.
///
/// When serving tasks reserve most processors of a fleet, nearly every worker runs some, and a
/// filling task finds room only where it disturbs none of the serving images. Each further serving
/// image on a worker makes that less likely: where two pairs of images in three disturb each other,
/// one filling image in three suits a worker of one serving image, and one in thirty a worker of
/// three. So the room that a serving task takes depends on the images that its worker already runs.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "ebonypin/core/fleet/image_pairs.h"

namespace ebonypin::core::fleet {

struct FillingRoomOptions {
  /// Growth of utilisation that the target of a serving task allows at its usual load.
  double m_allowed_growth = 0.5;
  /// Share of a worker's processors that filling tasks would use if they disturbed nobody.
  double m_usual_load = 0.5;
  /// Suitability assumed for a pair while no pair was measured. It counts as much as this number
  /// of measured pairs.
  double m_assumed_suitability = 0.8;
  double m_assumed_pairs = 10.0;
};

/// Suitability of the filling images in demand for workers that run a serving image.
struct FillingRoom {
  /// By serving image: for each filling image the share of its processors, 0 to 1, that it could
  /// use beside the serving image.
  std::map<ImageName, std::vector<double>> m_suitability;
  /// Suitability of each filling image beside a serving image that is not listed.
  std::vector<double> m_unknown;

  friend bool operator==(const FillingRoom&, const FillingRoom&) = default;
};

/// Describes the room for filling tasks of the images in `filling`.
[[nodiscard]] FillingRoom DescribeRoom(const ImagePairs& pairs, const std::set<ImageName>& filling,
                                       Time now, const FillingRoomOptions& options = {});

/// Returns the part, 0 to 1, of a worker's unused processors that filling tasks could use beside
/// tasks of the serving images.
[[nodiscard]] double UsablePart(const FillingRoom& room, const std::set<ImageName>& serving);

}  // namespace ebonypin::core::fleet
