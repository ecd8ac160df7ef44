include("${CMAKE_CURRENT_LIST_DIR}/aldersill_dispatchTargets.cmake")
