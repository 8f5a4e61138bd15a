package org.dotterelcourse.coordination.measure;

import java.util.List;

/**
 * A straight line through measured points by least squares.
 *
 * @param intercept value at 0
 * @param slope growth for each unit of x
 * @param slopeError standard error of the slope
 * @param residual standard deviation of the points around the line
 * @param meanX mean of the points' x
 * @param spreadX sum of squared distances of x from its mean
 * @param points number of points
 */
record LinearFit(
        double intercept, double slope, double slopeError, double residual, double meanX, double spreadX, int points) {

    /** One measured point. */
    record Point(double x, double y) {}

    static LinearFit through(List<Point> points) {
        int count = points.size();
        double meanX = points.stream().mapToDouble(Point::x).average().orElse(0);
        double meanY = points.stream().mapToDouble(Point::y).average().orElse(0);
        double spreadX = 0;
        double product = 0;
        for (Point point : points) {
            spreadX += (point.x - meanX) * (point.x - meanX);
            product += (point.x - meanX) * (point.y - meanY);
        }
        double slope = product / spreadX;
        double intercept = meanY - slope * meanX;
        double squares = 0;
        for (Point point : points) {
            double error = point.y - intercept - slope * point.x;
            squares += error * error;
        }
        double residual = Math.sqrt(squares / Math.max(1, count - 2));
        return new LinearFit(intercept, slope, residual / Math.sqrt(spreadX), residual, meanX, spreadX, count);
    }

    double at(double x) {
        return intercept + slope * x;
    }

    /** Standard error of a single value at x, which grows with the distance from the points. */
    double errorAt(double x) {
        double distance = (x - meanX) * (x - meanX) / spreadX;
        return residual * Math.sqrt(1 + 1.0 / points + distance);
    }
}
