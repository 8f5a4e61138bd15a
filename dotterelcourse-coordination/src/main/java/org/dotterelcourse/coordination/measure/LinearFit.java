package org.dotterelcourse.coordination.measure;

import java.util.List;

/**
 * Linear regression by least squares.
 *
 * @param intercept value at 0
 * @param slope increase per unit of x
 * @param slopeError standard error of the slope
 * @param residual residual standard deviation
 * @param meanX mean of x
 * @param spreadX sum of squared deviations of x from its mean
 * @param points number of points
 */
record LinearFit(
        double intercept, double slope, double slopeError, double residual, double meanX, double spreadX, int points) {

    /**
     * A measured point.
     *
     * @param x independent variable
     * @param y measured value
     */
    record Point(double x, double y) {}

    static LinearFit leastSquares(List<Point> points) {
        int count = points.size();
        double meanX = points.stream().mapToDouble(Point::x).average().orElse(0);
        double meanY = points.stream().mapToDouble(Point::y).average().orElse(0);
        double spreadX = 0;
        double productSum = 0;
        for (Point point : points) {
            spreadX += (point.x - meanX) * (point.x - meanX);
            productSum += (point.x - meanX) * (point.y - meanY);
        }
        double slope = productSum / spreadX;
        double intercept = meanY - slope * meanX;
        double sumOfSquares = 0;
        for (Point point : points) {
            double deviation = point.y - intercept - slope * point.x;
            sumOfSquares += deviation * deviation;
        }
        double residual = Math.sqrt(sumOfSquares / Math.max(1, count - 2));
        return new LinearFit(intercept, slope, residual / Math.sqrt(spreadX), residual, meanX, spreadX, count);
    }

    double valueAt(double x) {
        return intercept + slope * x;
    }

    /**
     * Standard error of the prediction of a single value at x, which increases with the distance from the mean of x.
     */
    double predictionErrorAt(double x) {
        double distance = (x - meanX) * (x - meanX) / spreadX;
        return residual * Math.sqrt(1 + 1.0 / points + distance);
    }
}
